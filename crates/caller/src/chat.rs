//! The template that turns a conversation into one prompt.
//!
//! Each message becomes a line `<|ROLE|>`, its content and a line break; the prompt ends in the line
//! `<|assistant|>`, after which the model speaks. So a longer conversation starts with all of a
//! shorter one's prompt up to that last line, and its cached pieces are found again.

use serde::Deserialize;
use strum::Display;

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: Role,
    /// What is said.
    pub content: String,
}

/// Who speaks.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// The one who sets the rules.
    System,
    /// The same, by its newer name.
    Developer,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// A tool that the model called.
    Tool,
}

/// The prompt of a conversation.
pub fn render(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for Message { role, content } in messages {
        prompt.push_str(&format!("<|{role}|>\n{content}\n"));
    }
    prompt.push_str("<|assistant|>\n");
    prompt
}
