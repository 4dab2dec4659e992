//! Template that renders a conversation as one prompt.
//!
//! Each message becomes a line `<|ROLE|>`, its content and a line break; the prompt ends with the
//! line `<|assistant|>`, after which the model generates its answer. The prompt of a continued
//! conversation thus starts with the earlier prompt up to that line and reuses its cached blocks.

use serde::Deserialize;
use strum::Display;

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Role of the author.
    pub role: Role,
    /// Text of the message.
    pub content: String,
}

/// Role of a message's author.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Application that gives the model its instructions.
    System,
    /// Newer name of [`Role::System`].
    Developer,
    /// End user.
    User,
    /// Model.
    Assistant,
    /// Tool that the model called.
    Tool,
}

/// Renders a conversation as a prompt.
pub fn render(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for Message { role, content } in messages {
        prompt.push_str(&format!("<|{role}|>\n{content}\n"));
    }
    prompt.push_str("<|assistant|>\n");
    prompt
}
