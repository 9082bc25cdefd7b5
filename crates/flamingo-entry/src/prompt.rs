//! What the entry reads of a completion's body.

use flamingo_route::request::{Prefix, Prefixes};
use flamingo_route::ring::hash;
use flamingo_wire::Fault;
use flamingo_wire::fault::Reason;
use flamingo_wire::id;
use serde::Deserialize;
use serde_json::Value;

/// Length of the shortest prefix that is told apart, in bytes.
const SHORTEST: usize = 256;
/// Prefixes told apart, each twice as long as the one before.
const PREFIXES: u32 = 8;
/// Bytes of text per token, about.
const TOKEN: usize = 4;

/// What the entry reads of a completion's body; the rest goes on as it came.
#[derive(Debug, Deserialize)]
pub struct Prompt {
    /// The model, or one of its adapters.
    pub model: id::Model,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default, rename = "prompt")]
    text: Value,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Value,
}

impl Prompt {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Returns a fault where the body is not text, not JSON, nested too deep or
    /// names no model.
    ///
    /// ```
    /// use flamingo_entry::prompt::Prompt;
    ///
    /// let body = br#"{"model": "notes", "prompt": "hello"}"#;
    /// assert_eq!(Prompt::read(body).unwrap().model, "notes");
    /// assert!(Prompt::read(b"{").is_err());
    /// ```
    pub fn read(body: &[u8]) -> Result<Self, Fault> {
        let invalid = |message: String| {
            let help = "send a JSON object with a 'model', in UTF-8";
            Fault::not_run(Reason::Invalid, message, help)
        };
        let text = std::str::from_utf8(body)
            .map_err(|error| invalid(format!("the body is not UTF-8: {error}")))?;
        serde_json::from_str(text)
            .map_err(|error| invalid(format!("the body can't be read: {error}")))
    }

    /// Returns the prefixes of the prompt.
    #[must_use]
    pub fn chain(&self) -> Prefixes {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            add(&mut text, &message.content);
        }
        add(&mut text, &self.text);
        let bytes = text.as_bytes();
        let lengths = (0..PREFIXES).map(|step| SHORTEST << step);
        let lengths = lengths.take_while(|length| *length < bytes.len());
        let lengths = lengths.chain([bytes.len()]);
        lengths
            .map(|length| Prefix {
                hash: hash((&self.model, &bytes[..length])),
                tokens: u32::try_from(length / TOKEN).unwrap_or(u32::MAX),
            })
            .collect()
    }
}

fn add(text: &mut String, content: &Value) {
    match content {
        Value::Null => {}
        Value::String(content) => text.push_str(content),
        other => text.push_str(&other.to_string()),
    }
}
