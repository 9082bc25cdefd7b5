//! How fast the engines of a service read prompts, learnt from what was seen.
//!
//! Answers installations whose engines differ: the time to a first event is taken to be a
//! constant and the tokens that are read before it over a rate. Both are fitted by least
//! squares in which older samples count ever less.

use std::time::Duration;

/// Tokens that an engine reads in a millisecond, before any was observed.
const RATE: f64 = 20.0;
/// Least and largest rate that is believed, in tokens per millisecond.
const BOUNDS: (f64, f64) = (4.0, 400.0);
/// Samples that the first guess counts for.
const GUESS: f64 = 60.0;
/// Tokens over which the first guess is spread.
const SPREAD: f64 = 3_000.0;
/// Samples after which one counts for a third.
const MEMORY: f64 = 1_500.0;
/// A wait so many times the predicted one tells of a fault, not of the rate.
const WILD: f64 = 4.0;
/// Wait that tells of nothing yet, however small the predicted one, in milliseconds.
const SMALL: f64 = 300.0;

/// A line through waits over tokens, with the sums that determine it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    count: f64,
    tokens: f64,
    waits: f64,
    squares: f64,
    products: f64,
}

impl Default for Pace {
    fn default() -> Self {
        // Half of the guesses are of no tokens, half of as many as they are spread over.
        let half = GUESS / 2.0;
        Self {
            count: GUESS,
            tokens: half * SPREAD,
            waits: half * SPREAD / RATE,
            squares: half * SPREAD * SPREAD,
            products: half * SPREAD * SPREAD / RATE,
        }
    }
}

impl Pace {
    /// Takes the wait for a first event before which so many tokens were read.
    ///
    /// ```
    /// use flamingo_serve::pace::Pace;
    /// use std::time::Duration;
    ///
    /// let mut pace = Pace::default();
    /// for n in 0..9_000 {
    ///     let tokens = 500 + n % 4 * 1_000;
    ///     pace.learn(tokens, Duration::from_millis(u64::from(tokens) / 50));
    /// }
    /// assert!((pace.rate() - 50.0).abs() < 2.0);
    /// ```
    pub fn learn(&mut self, tokens: u32, wait: Duration) {
        let tokens = f64::from(tokens);
        let wait = wait.as_secs_f64() * 1_000.0;
        if wait > tokens / self.rate() * WILD + SMALL {
            return;
        }
        let keep = 1.0 - 1.0 / MEMORY;
        self.count = self.count * keep + 1.0;
        self.tokens = self.tokens * keep + tokens;
        self.waits = self.waits * keep + wait;
        self.squares = self.squares * keep + tokens * tokens;
        self.products = self.products * keep + tokens * wait;
    }

    /// Returns the tokens that are read in a millisecond.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let spread = self.count * self.squares - self.tokens * self.tokens;
        let rise = self.count * self.products - self.tokens * self.waits;
        let (least, most) = BOUNDS;
        if spread <= 0.0 || rise <= 0.0 {
            return RATE;
        }
        (spread / rise).clamp(least, most)
    }
}
