//! Configuration documents read from files.

use std::ops::Range;
use std::path::Path;
use std::sync::Arc;

use acacia_catalog::{Excerpt, File, Problem, Set};
use miette::NamedSource;

use crate::failure::Note;
use crate::{Exit, Failure};

/// Field whose value is redacted.
const SECRET_FIELD: &str = "\"cache_secret\"";

/// A parsed file and its text.
pub struct Source {
    /// The parsed content.
    pub file: File,
    name: String,
    text: String,
}

impl Source {
    /// Reads a file; `-` is standard input.
    ///
    /// # Errors
    /// If the file can't be read or parsed.
    pub fn read(path: &Path) -> Result<Self, Failure> {
        let name = path.display().to_string();
        let text = if name == "-" {
            std::io::read_to_string(std::io::stdin())
        } else {
            std::fs::read_to_string(path)
        };
        let text = text.map_err(|error| {
            let message = format!("can't read {name}: {error}");
            Failure::new(Exit::Refused, "unreadable", message)
        })?;
        let mistakes = match File::parse(&text) {
            Ok(file) => return Ok(Self { file, name, text }),
            Err(mistakes) => mistakes,
        };
        let redacted = redacted(&name, &text);
        let note = |m: acacia_catalog::file::Diagnostic| note(&redacted, m.span, m.message, None);
        let notes = mistakes.into_iter().map(note).collect();
        let failure = Failure::new(
            Exit::Refused,
            "malformed",
            format!("{name} is not a valid configuration file"),
        )
        .hint("`acacia schema` prints the format of configurations");
        Err(Failure { notes, ..failure })
    }

    /// Checks the whole document.
    ///
    /// # Errors
    /// If the document has problems; the failure lists all of them.
    pub fn check(&self) -> Result<Set, Failure> {
        Set::check(&self.file.document).map_err(|problems| self.invalid(&problems))
    }

    /// The failure for a document with these problems.
    pub fn invalid(&self, problems: &[Problem]) -> Failure {
        let redacted = redacted(&self.name, &self.text);
        let note = |p: &Problem| {
            let place = self.file.span(&self.text, p).unwrap_or_default();
            note(&redacted, place, p.to_string(), Some(p.hint.clone()))
        };
        let message = format!("{} has {} problems", self.name, problems.len());
        let failure = Failure::new(Exit::Refused, "invalid", message);
        let notes = problems.iter().map(note).collect();
        Failure { notes, ..failure.hint("fix every problem; nothing was changed") }
    }
}

fn note(
    text: &Arc<NamedSource<String>>,
    place: Range<usize>,
    message: String,
    hint: Option<String>,
) -> Note {
    let excerpt = Excerpt::around(text.inner(), place);
    let text = Arc::new(NamedSource::new(text.name(), excerpt.text));
    Note { message, hint, span: excerpt.span.into(), text }
}

/// The text with secrets replaced by asterisks. Its length stays the same, so that places stay
/// valid.
fn redacted(name: &str, text: &str) -> Arc<NamedSource<String>> {
    let mut redacted = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(at) = rest.find(SECRET_FIELD) {
        let (before, after) = rest.split_at(at + SECRET_FIELD.len());
        redacted.push_str(before);
        let value = value_range(after);
        redacted.push_str(&after[..value.start]);
        redacted.extend(std::iter::repeat_n('*', value.len()));
        rest = &after[value.end..];
    }
    redacted.push_str(rest);
    Arc::new(NamedSource::new(name, redacted))
}

/// Range of the string that follows a field's name; the rest of the line if there is none.
fn value_range(after: &str) -> Range<usize> {
    let line = after.find('\n').unwrap_or(after.len());
    let Some(start) = after[..line].find('"').map(|quote| quote + 1) else { return 0..line };
    let mut escaped = false;
    for (at, c) in after[start..].char_indices() {
        match c {
            '"' if !escaped => return start..start + at,
            '\\' => escaped = !escaped,
            _ => escaped = false,
        }
    }
    start..after.len()
}
