//! Failures of commands, and how they are printed.

use std::fmt::{Display, Write};
use std::sync::Arc;

use acacia_operator::client;
use acacia_operator::fault::{Code, Fault};
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use serde_json::json;
use thiserror::Error;

use crate::Exit;
use crate::output::{self, Format};

/// Most notes that a failure prints as text.
const NOTE_LIMIT: usize = 20;

/// Why a command failed.
#[derive(Debug, Error)]
#[error("{message}")]
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// Machine-readable name of the failure.
    pub code: String,
    /// Description of the problem.
    pub message: String,
    /// Hint about what to do.
    pub hint: Option<String>,
    /// Problems at places in a file.
    pub notes: Vec<Note>,
    /// The error that the daemon answered with.
    pub fault: Option<Box<Fault>>,
}

/// A problem at a place in a text.
#[derive(Clone, Debug, Error)]
#[error("{message}")]
pub struct Note {
    /// Description of the problem.
    pub message: String,
    /// Hint about what to do.
    pub hint: Option<String>,
    /// Place of the problem in the text.
    pub span: SourceSpan,
    /// The text around it.
    pub text: Arc<NamedSource<String>>,
}

impl Diagnostic for Note {
    fn help(&self) -> Option<Box<dyn Display + '_>> {
        self.hint.as_ref().map(|hint| Box::new(hint) as Box<dyn Display>)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&*self.text)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), self.span);
        Some(Box::new(std::iter::once(label)))
    }
}

impl Failure {
    /// A failure without details.
    pub fn new(exit: Exit, code: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            exit,
            code: code.into(),
            message: message.into(),
            hint: None,
            notes: Vec::new(),
            fault: None,
        }
    }

    /// Adds a hint about what to do.
    #[must_use]
    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Prints the failure to standard error.
    pub fn print(&self, format: Format) {
        match format {
            Format::Text => eprint!("{}", self.text()),
            Format::Json => eprintln!("{}", self.json()),
        }
    }

    /// Renders the failure as text, with places, problems and differences.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let handler = miette::GraphicalReportHandler::new();
        if handler.render_report(&mut text, self).is_err() {
            text = format!("{self}\n");
        }
        if self.notes.len() > NOTE_LIMIT {
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "and {} more; `--format json` prints all",
                self.notes.len() - NOTE_LIMIT
            );
        }
        let Some(fault) = &self.fault else { return text };
        for problem in &fault.problems {
            let _ = writeln!(text, "  {problem}\n    {}", problem.hint);
        }
        if let Some(differences) = &fault.differences {
            let table = output::differences(differences);
            let _ = writeln!(text, "changes by others since the base revision:\n{table}");
        }
        text
    }

    /// Renders the failure as JSON.
    pub fn json(&self) -> serde_json::Value {
        let notes = self.notes.iter().map(|note| {
            json!({
                "offset": note.span.offset(),
                "length": note.span.len(),
                "message": note.message,
                "hint": note.hint,
            })
        });
        let mut error = json!({
            "code": self.code,
            "message": self.message,
            "hint": self.hint,
            "exit": self.exit as u8,
            "places": notes.collect::<Vec<_>>(),
        });
        if let Some(fault) = &self.fault {
            error["fault"] = json!(fault);
        }
        json!({ "error": error })
    }
}

impl Diagnostic for Failure {
    fn code(&self) -> Option<Box<dyn Display + '_>> {
        Some(Box::new(&self.code))
    }

    fn help(&self) -> Option<Box<dyn Display + '_>> {
        self.hint.as_ref().map(|hint| Box::new(hint) as Box<dyn Display>)
    }

    fn related(&self) -> Option<Box<dyn Iterator<Item = &dyn Diagnostic> + '_>> {
        if self.notes.is_empty() {
            return None;
        }
        let notes = self.notes.iter().take(NOTE_LIMIT);
        Some(Box::new(notes.map(|note| note as &dyn Diagnostic)))
    }
}

impl From<client::Error> for Failure {
    fn from(error: client::Error) -> Self {
        let message = error.to_string();
        match error {
            client::Error::Refused(fault) => fault.into(),
            client::Error::Unreachable(_) => Self::new(Exit::Unreachable, "unreachable", message)
                .hint("check `--server`; it may be any live daemon"),
            client::Error::AnswerLost(_) => Self::new(Exit::Unknown, "unknown", message)
                .hint("retry the call with the same change id"),
            client::Error::Unexpected { .. } => Self::new(Exit::Refused, "foreign", message)
                .hint("`--server` must be a daemon's operator address"),
        }
    }
}

impl From<Fault> for Failure {
    fn from(fault: Fault) -> Self {
        let exit = match fault.code {
            Code::Conflict => Exit::Conflict,
            Code::Unavailable => Exit::Unreachable,
            Code::Unknown => Exit::Unknown,
            _ => Exit::Refused,
        };
        let failure = Self::new(exit, fault.code.to_string(), fault.message.clone());
        Self { fault: Some(Box::new(fault.clone())), ..failure.hint(fault.hint) }
    }
}
