//! Judges the retries of all entries together, in every sliding window.

use flamingo_serve::budget::Allowance;

/// Time between two points of the virtual time, in milliseconds.
pub const STEP_MS: u64 = 50;

/// The window in which the retries come closest to what is allowed, or exceed it most.
#[derive(Clone, Copy, Default)]
pub struct Worst {
    pub at_ms: u64,
    pub retries: u32,
    pub requests: u32,
    pub allowed: f64,
}

impl std::fmt::Display for Worst {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            at_ms,
            retries,
            requests,
            allowed,
        } = self;
        write!(
            out,
            "{retries} retries for {requests} requests from {at_ms} ms, {allowed} allowed"
        )
    }
}

impl Worst {
    /// Returns the retries as a share of what is allowed.
    pub fn used(&self) -> f64 {
        f64::from(self.retries) / self.allowed.max(f64::MIN_POSITIVE)
    }
}

/// Requests and retries at each point of the virtual time.
#[derive(Clone, Debug)]
pub struct Judge {
    allowance: Allowance,
    requests: Vec<u32>,
    retries: Vec<u32>,
}

impl Judge {
    pub fn new(allowance: Allowance, run_ms: u64) -> Self {
        let points = usize::try_from(run_ms / STEP_MS).expect("a length") + 1;
        Self {
            allowance,
            requests: vec![0; points],
            retries: vec![0; points],
        }
    }

    pub fn record_request(&mut self, at_ms: u64) {
        self.requests[point(at_ms)] += 1;
    }

    pub fn record_retry(&mut self, at_ms: u64) {
        self.retries[point(at_ms)] += 1;
    }

    /// Returns the number of all retries.
    pub fn retries(&self) -> u32 {
        self.retries.iter().sum()
    }

    /// Returns the worst window. Requests are those of that window, the one before it or the one
    /// half a window before it, whichever has most.
    pub fn worst(&self) -> Worst {
        let window = u64::try_from(self.allowance.window.as_millis()).expect("a window") / STEP_MS;
        let window = usize::try_from(window).expect("a window");
        let points = 0..self.retries.len();
        let windows = points.map(|start| {
            let end = start + window;
            let retries = sum(&self.retries, start, end);
            let requests = sum(&self.requests, start, end)
                .max(sum(
                    &self.requests,
                    start.saturating_sub(window),
                    end - window,
                ))
                .max(sum(
                    &self.requests,
                    start.saturating_sub(window / 2),
                    end - window / 2,
                ));
            Worst {
                at_ms: u64::try_from(start).expect("a time") * STEP_MS,
                retries,
                requests,
                allowed: self.allowance.ratio * f64::from(requests) + self.allowance.slack,
            }
        });
        windows
            .max_by(|left, right| left.used().total_cmp(&right.used()))
            .unwrap_or_default()
    }
}

fn point(at_ms: u64) -> usize {
    usize::try_from(at_ms / STEP_MS).expect("a time")
}

fn sum(counts: &[u32], start: usize, end: usize) -> u32 {
    let end = end.min(counts.len());
    counts[start.min(end)..end].iter().sum()
}
