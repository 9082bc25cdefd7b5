//! Parses the parts of a completion's body that routing needs.

use flamingo_route::request::{Prefix, Prefixes};
use flamingo_route::ring::hash;
use flamingo_wire::Fault;
use flamingo_wire::fault::Reason;
use flamingo_wire::id;
use serde::Deserialize;
use serde_json::Value;

/// Length of the shortest prefix that is hashed, in bytes.
const MIN_PREFIX_BYTES: usize = 256;
/// Largest number of hashed prefixes beside the whole prompt. Each is twice as long as the one
/// before.
const MAX_PREFIXES: u32 = 8;
/// Rough number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// The fields of a completion's body that the entry reads. The body is forwarded unchanged.
#[derive(Debug, Deserialize)]
pub struct Prompt {
    /// Name of the model or adapter.
    pub model: id::Model,
    /// Whether the caller asks for a streamed response.
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
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is not UTF-8, not JSON, nested too deep or has no model.
    ///
    /// ```
    /// use flamingo_entry::prompt::Prompt;
    ///
    /// let body = br#"{"model": "notes", "prompt": "hello"}"#;
    /// assert_eq!(Prompt::parse(body).unwrap().model, "notes");
    /// assert!(Prompt::parse(b"{").is_err());
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self, Fault> {
        let invalid = |message: String| {
            let help = "send a JSON object with a 'model', in UTF-8";
            Fault::not_run(Reason::Invalid, message, help)
        };
        let text = std::str::from_utf8(body)
            .map_err(|error| invalid(format!("the body is not UTF-8: {error}")))?;
        serde_json::from_str(text)
            .map_err(|error| invalid(format!("the body can't be read: {error}")))
    }

    /// Returns the hashes and estimated token counts of prefixes of the prompt, shortest first; the
    /// last one is the whole prompt. The router finds targets with a cached prefix by these hashes.
    #[must_use]
    pub fn prefixes(&self) -> Prefixes {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            append_content(&mut text, &message.content);
        }
        append_content(&mut text, &self.text);
        let bytes = text.as_bytes();
        let lengths = (0..MAX_PREFIXES).map(|step| MIN_PREFIX_BYTES << step);
        let lengths = lengths.take_while(|length| *length < bytes.len());
        let lengths = lengths.chain([bytes.len()]);
        lengths
            .map(|length| Prefix {
                hash: hash((&self.model, &bytes[..length])),
                tokens: u32::try_from(length / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            })
            .collect()
    }
}

fn append_content(text: &mut String, content: &Value) {
    match content {
        Value::Null => {}
        Value::String(content) => text.push_str(content),
        other => text.push_str(&other.to_string()),
    }
}
