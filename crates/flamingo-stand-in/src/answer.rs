//! The text that a fake engine generates. It depends on the prompt alone, so that tests detect
//! tokens that belong to another request, are repeated or are missing.

use serde_json::Value;

/// Characters of a prompt per token.
pub const CHARACTERS: usize = 4;

/// FNV-1a of `bytes`, continued from `seed` (Fowler, Noll, Vo).
///
/// ```
/// assert_ne!(flamingo_stand_in::answer::hash(0, b"a"), flamingo_stand_in::answer::hash(0, b"b"));
/// ```
#[must_use]
pub fn hash(seed: u64, bytes: &[u8]) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ seed;
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns token number `step`, from 0, of the answer to `prompt`. A prompt whose last line is
/// `echo:WORD ...` is answered with the tokens `WORD.0 WORD.1 ...`.
///
/// ```
/// use flamingo_stand_in::answer;
///
/// assert!(answer::token("hello", 3).starts_with("t3-"));
/// assert_eq!(answer::token("echo:q17", 3), "q17.3 ");
/// assert_ne!(answer::token("hello", 3), answer::token("other", 3));
/// ```
#[must_use]
pub fn token(prompt: &str, step: u32) -> String {
    let last = prompt.lines().last().unwrap_or_default();
    let echo = last.strip_prefix("echo:");
    if let Some(word) = echo.and_then(|rest| rest.split_whitespace().next()) {
        return format!("{word}.{step} ");
    }
    format!("t{step}-{:08x} ", hash(0, prompt.as_bytes()) >> 32)
}

/// Returns tokens `from..to` of the answer to `prompt`.
///
/// ```
/// use flamingo_stand_in::answer;
///
/// let whole = answer::text("hello", 0, 4);
/// assert_eq!(whole, answer::text("hello", 0, 2) + &answer::text("hello", 2, 4));
/// ```
#[must_use]
pub fn text(prompt: &str, from: u32, to: u32) -> String {
    (from..to).map(|step| token(prompt, step)).collect()
}

/// Returns the prompt of a request body: `prompt`, or the contents of `messages`.
#[must_use]
pub fn prompt(body: &Value) -> String {
    if let Some(prompt) = body["prompt"].as_str() {
        return prompt.to_owned();
    }
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let contents: Vec<_> = messages
        .iter()
        .filter_map(|message| message["content"].as_str())
        .collect();
    contents.join("\n")
}

/// Returns the number of tokens in `prompt`.
#[must_use]
pub fn tokens(prompt: &str) -> usize {
    prompt.len().div_ceil(CHARACTERS).max(1)
}
