//! Truncates long lines of a text, so that an error message can quote it.

use std::ops::Range;

/// Maximum length of a line that is not truncated: two lines of a wide terminal.
const LINE_LIMIT_BYTES: usize = 240;
/// Replaces the omitted text.
const ELLIPSIS: &str = "…";

/// A text with truncated lines and a span within it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Excerpt {
    /// The text, with the original number of lines, each at most slightly longer than the limit.
    pub text: String,
    /// The corresponding span in the truncated text.
    pub span: Range<usize>,
}

impl Excerpt {
    /// Truncates long lines of `text`, keeping the surroundings of `span`.
    pub fn around(text: &str, span: Range<usize>) -> Self {
        let mut output = String::new();
        let mut new_span = 0..0;
        let mut start = 0;
        for line in text.split_inclusive('\n') {
            let end = start + line.len();
            let has_span = span.start >= start && (span.start < end || end == text.len());
            let middle = if has_span { span.start - start } else { 0 };
            let kept = window(line, middle);
            if kept.start > 0 {
                output.push_str(ELLIPSIS);
            }
            if has_span {
                let from = (output.len() + middle).saturating_sub(kept.start);
                let length = span.len().min(kept.end.saturating_sub(middle));
                new_span = from..from + length;
            }
            output.push_str(&line[kept.clone()]);
            if kept.end < line.len() {
                output.push_str(ELLIPSIS);
                output.push_str(if line.ends_with('\n') { "\n" } else { "" });
            }
            start = end;
        }
        Self { text: output, span: new_span }
    }
}

/// The part of a line to keep; centred on `middle` if the line is too long.
fn window(line: &str, middle: usize) -> Range<usize> {
    if line.len() <= LINE_LIMIT_BYTES {
        return 0..line.len();
    }
    let boundary = |at: usize| line.floor_char_boundary(at.min(line.len()));
    boundary(middle.saturating_sub(LINE_LIMIT_BYTES / 2))..boundary(middle + LINE_LIMIT_BYTES / 2)
}
