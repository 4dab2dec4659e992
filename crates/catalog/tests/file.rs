//! Parsing of files, positions of errors, and the example files.

#[macro_use]
mod common;

use acacia_catalog::generate::Size;
use acacia_catalog::{Document, File, Set};

fn text() -> String {
    serde_json::to_string_pretty(&Size::Actas.plan().document(1))
        .expect("a document can be serialized")
}

/// The text at each error, and its message.
fn errors(text: &str) -> Vec<(String, String)> {
    let errors = File::parse(text).expect_err("the text is invalid");
    errors.into_iter().map(|m| (text[m.span].to_owned(), m.message)).collect()
}

#[test]
fn parse_document() {
    let file = File::parse(&text()).unwrap();
    assert_eq!(file.document, Size::Actas.plan().document(1));
    assert_eq!(file.revision, None);
}

#[test]
fn parse_revision() {
    let file = File::parse(r#"{"revision": 7, "objects": []}"#).unwrap();
    assert_eq!(file.revision, Some(7));
}

#[test]
fn parse_examples() {
    for (size, text) in [
        (Size::Actas, include_str!("../../../examples/actas.json")),
        (Size::Ferreira, include_str!("../../../examples/ferreira.json")),
    ] {
        let file = File::parse(text).unwrap();
        assert_eq!(file.document, size.plan().document(1), "regenerate the example of {size}");
        Set::check(&file.document).unwrap();
    }
}

#[test]
fn parse_unknown_field() {
    let text = text().replacen("\"slots\"", "\"slot\"", 1);
    let found = errors(&text);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].0, "\"slot\"");
    assert!(found[0].1.contains("unknown field"), "{}", found[0].1);
}

#[test]
fn parse_multiple_errors() {
    let text = text().replacen("\"slots\": 32", "\"slots\": -1", 2).replacen(
        "\"kind\": \"store\"",
        "\"kind\": \"shop\"",
        1,
    );
    let found = errors(&text);
    let texts: Vec<&str> = found.iter().map(|(text, _)| text.as_str()).collect();
    assert_eq!(texts, ["\"kind\"", "\"slots\"", "\"slots\""]);
}

#[test]
fn parse_top_level_errors() {
    assert!(errors("{\"objects\": [}")[0].1.contains("line 1 column 14"));
    assert!(errors("{\"object\": []}")[0].1.contains("unknown field"));
    assert!(errors("")[0].1.contains("EOF"));
    assert!(errors("{\"objects\": [{}]}")[0].1.contains("kind"));
}

#[test]
fn span_of_problem() {
    let text = text().replacen("\"cold_limit\": 4", "\"cold_limit\": 0", 1);
    let file = File::parse(&text).unwrap();
    let problems = Set::check(&file.document).unwrap_err();
    assert_eq!(problems.len(), 1);
    let span = file.span(&text, &problems[0]).unwrap();
    assert!(text[span].starts_with("\"cold_limit\""));
}

#[test]
fn schema_contains_every_kind() {
    let schema = serde_json::to_string(&schemars::schema_for!(Document)).unwrap();
    for object in Size::Actas.plan().document(1).objects {
        assert!(schema.contains(&format!("\"{}\"", object.kind())), "{}", object.kind());
    }
}

properties! {
    fn parse_any_text(text: String) -> bool {
        File::parse(&text).is_ok_and(|f| f.document.objects.is_empty()) || File::parse(&text).is_err()
    }

    fn parse_corrupted(at: usize, byte: u8) -> bool {
        let mut bytes = text().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte & 0x7f;
        let text = String::from_utf8(bytes).unwrap();
        match File::parse(&text) {
            Ok(file) => Set::check(&file.document).map_or_else(|p| !p.is_empty(), |_| true),
            Err(errors) => errors.iter().all(|m| text.get(m.span.clone()).is_some()),
        }
    }
}
