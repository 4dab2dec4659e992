//! Parsing of settings, and its errors.

use acacia_daemon::Settings;
use acacia_daemon::settings::Fault;

const MINIMAL: &str = r#"{ "zone": "a", "kv": ["127.0.0.1:1"], "list": "127.0.0.1:2" }"#;

/// The invalid setting and its position in the text.
fn fault(text: &str) -> (String, usize) {
    match Settings::parse("test", text.to_owned()).map_err(|fault| *fault) {
        Err(Fault::Invalid { field, at, .. }) => (field, at.offset()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn parse_minimal() {
    assert!(Settings::parse("test", MINIMAL.to_owned()).is_ok());
}

#[test]
fn parse_unknown_key() {
    let text = MINIMAL.replace("\"list\"", "\"lists\": 1, \"list\"");
    let (field, at) = fault(&text);
    assert_eq!(field, "lists");
    let key = text.find("\"lists\"").expect("the key is in the text");
    assert!((key..key + "\"lists\"".len()).contains(&at), "{at}");
}

#[test]
fn parse_wrong_type() {
    let text = MINIMAL.replace("\"zone\"", "\"threads\": \"two\", \"zone\"");
    assert_eq!(fault(&text).0, "threads");
}

#[test]
fn parse_unusable_value() {
    let text = MINIMAL.replace("\"zone\"", "\"threads\": 0, \"zone\"");
    let (field, at) = fault(&text);
    assert_eq!(field, "threads");
    assert!(text[at..].starts_with("\"threads\""));
}

#[test]
fn parse_nested_unknown_key() {
    let text = MINIMAL.replace("\"zone\"", "\"times\": { \"poll\": 1 }, \"zone\"");
    assert_eq!(fault(&text).0, "times.poll");
}

#[test]
fn parse_trailing_text() {
    fault(&format!("{MINIMAL} x"));
}

#[test]
fn parse_error_excerpts_long_line() {
    let filler = "x".repeat(200_000);
    let text = format!("{{\"name\": \"{filler}\", \"no_such_setting\": 1}}");
    let fault = Settings::parse("long.json", text).unwrap_err();
    let shown = format!("{:?}", miette::Report::new(*fault));
    assert!(shown.len() < 3_000, "the error has {} bytes", shown.len());
    assert!(shown.contains("no_such_setting"), "{shown}");
}
