//! A text with its long lines cut, so that a message can show one place of it.

use std::ops::Range;

/// Longest line that is shown whole, in bytes: two lines of a wide terminal.
const LINE: usize = 240;
/// What stands for what was cut.
const CUT: &str = "…";

/// A text that can be shown around one span.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Excerpt {
    /// The text; as many lines as before, none much longer than a terminal's.
    pub text: String,
    /// The place in it.
    pub span: Range<usize>,
}

impl Excerpt {
    /// Cuts a text's long lines, and keeps what stands around a span.
    pub fn around(text: &str, span: Range<usize>) -> Self {
        let mut shown = String::new();
        let mut moved = 0..0;
        let mut start = 0;
        for line in text.split_inclusive('\n') {
            let end = start + line.len();
            let holds = span.start >= start && (span.start < end || end == text.len());
            let middle = if holds { span.start - start } else { 0 };
            let kept = window(line, middle);
            if kept.start > 0 {
                shown.push_str(CUT);
            }
            if holds {
                let from = (shown.len() + middle).saturating_sub(kept.start);
                let length = span.len().min(kept.end.saturating_sub(middle));
                moved = from..from + length;
            }
            shown.push_str(&line[kept.clone()]);
            if kept.end < line.len() {
                shown.push_str(CUT);
                shown.push_str(if line.ends_with('\n') { "\n" } else { "" });
            }
            start = end;
        }
        Self { text: shown, span: moved }
    }
}

/// The part of a line that is shown.
fn window(line: &str, middle: usize) -> Range<usize> {
    if line.len() <= LINE {
        return 0..line.len();
    }
    let boundary = |at: usize| line.floor_char_boundary(at.min(line.len()));
    boundary(middle.saturating_sub(LINE / 2))..boundary(middle + LINE / 2)
}
