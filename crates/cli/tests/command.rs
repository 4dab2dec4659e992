//! The program's output and exit codes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::Value;

const EXAMPLE: &str = include_str!("../../../examples/actas.json");

/// Runs `acacia` with a text on its standard input.
fn acacia(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_acacia"))
        .args(arguments)
        .env_remove("ACACIA_SERVER")
        .env_remove("ACACIA_KEY")
        .env_remove("ACACIA_KEY_FILE")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    // A program that fails early closes its standard input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the program ends")
}

fn json(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes).expect("the output is JSON")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("the output is text")
}

#[test]
fn check_valid() {
    let output = acacia(&["check", "--format", "json", "-"], EXAMPLE);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(json(&output.stdout)["objects"], 47);
}

#[test]
fn check_invalid() {
    let broken = EXAMPLE.replacen("\"cold_limit\": 4", "\"cold_limit\": 0", 2);
    let output = acacia(&["check", "--format", "json", "-"], &broken);
    assert_eq!(output.status.code(), Some(1));
    let error = &json(&output.stderr)["error"];
    assert_eq!(error["code"], "invalid");
    let places = error["places"].as_array().unwrap();
    assert_eq!(places.len(), 2);
    for place in places {
        let offset = usize::try_from(place["offset"].as_u64().unwrap()).unwrap();
        assert!(broken[offset..].starts_with("\"cold_limit\": 0"));
        assert!(!place["hint"].as_str().unwrap().is_empty());
    }
}

#[test]
fn check_malformed() {
    let broken = EXAMPLE.replacen("\"weight\": 8", "\"weight\": -8", 1);
    let output = acacia(&["check", "-"], &broken);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("`weight`: invalid value"));
}

#[test]
fn check_secret_hidden() {
    let secret = "0123456789abcdef-the-secret";
    let broken = EXAMPLE
        .lines()
        .map(|line| match line.find("\"cache_secret\"") {
            Some(at) => format!("{}\"cache_secret\": \"{secret}\",\n", &line[..at]),
            None => format!("{line}\n"),
        })
        .collect::<String>()
        .replace("\"weight\": 8", "\"weight\": 0");
    for format in ["text", "json"] {
        let output = acacia(&["check", "--format", format, "-"], &broken);
        assert_eq!(output.status.code(), Some(1));
        assert!(text(&output.stderr).contains("weight"));
        assert!(!text(&output.stderr).contains(secret));
    }
}

#[test]
fn check_missing_file() {
    let output = acacia(&["check", "/nonexistent/file.json"], "");
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("can't read"));
}

#[test]
fn usage_invalid() {
    assert_eq!(acacia(&["bogus"], "").status.code(), Some(2));
    assert_eq!(acacia(&["check", "--format", "xml", "-"], "").status.code(), Some(2));
    assert_eq!(acacia(&["status", "--server", "127.0.0.1:1"], "").status.code(), Some(2));
    assert_eq!(acacia(&["--help"], "").status.code(), Some(0));
}

#[test]
fn diff_two_files() {
    let other = EXAMPLE.replacen("\"weight\": 8", "\"weight\": 9", 1);
    let directory = std::env::temp_dir();
    let file = directory.join(format!("acacia-diff-{}.json", std::process::id()));
    std::fs::write(&file, other).unwrap();
    let output = acacia(&["diff", "--format", "json", "-", file.to_str().unwrap()], EXAMPLE);
    std::fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(0));
    let field = &json(&output.stdout)[0]["change"]["altered"][0];
    assert_eq!(
        (&field["field"], &field["before"], &field["after"]),
        (&"weight".into(), &8.into(), &9.into())
    );
}

#[test]
fn generate_example() {
    let output = acacia(&["generate", "actas"], "");
    assert_eq!(text(&output.stdout), EXAMPLE);
    let first = acacia(&["generate", "ferreira", "--seed", "3"], "").stdout;
    assert_eq!(acacia(&["generate", "ferreira", "--seed", "3"], "").stdout, first);
    assert_ne!(acacia(&["generate", "ferreira", "--seed", "4"], "").stdout, first);
}

#[test]
fn schema_object() {
    let schema = json(&acacia(&["schema"], "").stdout);
    assert!(schema["properties"]["objects"].is_object());
}
