//! Truncation of long lines.

use acacia_catalog::Excerpt;
use quickcheck::quickcheck;

#[test]
fn around_short_lines() {
    let text = "one\ntwo\nthree";
    assert_eq!(Excerpt::around(text, 4..7), Excerpt { text: text.to_owned(), span: 4..7 });
}

#[test]
fn around_truncates_long_line() {
    let text = format!("first\n{}WRONG{}\nlast", "a".repeat(100_000), "b".repeat(100_000));
    let at = text.find("WRONG").unwrap_or_default();
    let excerpt = Excerpt::around(&text, at..at + 5);
    assert!(excerpt.text.len() < 300, "{}", excerpt.text.len());
    assert_eq!(&excerpt.text[excerpt.span.clone()], "WRONG");
    assert_eq!(excerpt.text.lines().count(), 3);
    assert!(excerpt.text.starts_with("first\n…a") && excerpt.text.ends_with("b…\nlast"));
}

#[test]
fn around_preserves_span() {
    fn is_preserved(before: String, mark: char, after: String, long: bool) -> bool {
        let filler = if long { "é".repeat(500) } else { String::new() };
        let text = format!("{before}{filler}{mark}{filler}{after}");
        let at = before.len() + filler.len();
        let excerpt = Excerpt::around(&text, at..at + mark.len_utf8());
        excerpt.text[excerpt.span.start..].starts_with(mark)
    }
    quickcheck(is_preserved as fn(String, char, String, bool) -> bool);
}
