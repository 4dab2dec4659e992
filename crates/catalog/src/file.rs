//! Parses documents from JSON, with the position of every error.
//!
//! Each object is parsed separately, so that one error does not hide the next.

use std::ops::Range;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::Problem;
use crate::id::Revision;
use crate::object::{Document, Object};

/// Largest file, in bytes.
const BYTES_LIMIT: usize = 64 << 20;

/// A document and the positions of its objects in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The revision that the file was exported from.
    pub revision: Option<Revision>,
    /// The objects.
    pub document: Document,
    /// Byte range of each object in the text.
    spans: Vec<Range<usize>>,
}

/// An error in the text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Diagnostic {
    /// The affected byte range of the text.
    pub span: Range<usize>,
    /// Description of the error.
    pub message: String,
}

/// The top level of a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TopLevel<'a> {
    revision: Option<Revision>,
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

impl File {
    /// Parses a file; on failure, returns every error in it.
    pub fn parse(text: &str) -> Result<Self, Vec<Diagnostic>> {
        if text.len() > BYTES_LIMIT {
            let message = format!("the file is larger than {BYTES_LIMIT} bytes");
            return Err(vec![Diagnostic { span: 0..0, message }]);
        }
        let top: TopLevel<'_> =
            serde_json::from_str(text).map_err(|e| vec![top_level_diagnostic(text, &e)])?;
        let mut file =
            Self { revision: top.revision, document: Document::default(), spans: Vec::new() };
        let mut diagnostics = Vec::new();
        for raw in top.objects {
            let span = span_of(text, raw.get());
            match parse_object(raw.get()) {
                Ok(object) => {
                    file.document.objects.push(object);
                    file.spans.push(span);
                }
                Err(error) => diagnostics.push(error.into_diagnostic(text, span)),
            }
        }
        if diagnostics.is_empty() { Ok(file) } else { Err(diagnostics) }
    }

    /// Byte range of the field that `problem` refers to, in the text that was parsed.
    pub fn span(&self, text: &str, problem: &Problem) -> Option<Range<usize>> {
        let same = |o: &&Object| o.kind() == problem.kind && *o.name() == problem.object;
        // Of several objects with the same name, the last one has the problem.
        let index = self.document.objects.iter().rposition(|o| same(&o))?;
        let span = self.spans.get(index)?.clone();
        Some(field_span(text, span, &problem.field))
    }
}

/// An error within one object.
struct ObjectError {
    path: String,
    message: String,
}

impl ObjectError {
    fn into_diagnostic(self, text: &str, span: Range<usize>) -> Diagnostic {
        let Self { path, message } = self;
        let span = field_span(text, span, &path);
        let message = if path.is_empty() { message } else { format!("`{path}`: {message}") };
        Diagnostic { span, message }
    }
}

/// Parses one object by its kind, so that errors keep their path within the object.
fn parse_object(raw: &str) -> Result<Object, ObjectError> {
    let error = |path: &str, message: String| ObjectError { path: path.to_owned(), message };
    let mut map: Map<String, Value> =
        serde_json::from_str(raw).map_err(|e| error("", e.to_string()))?;
    let Some(Value::String(kind)) = map.remove("kind") else {
        return Err(error("", "the object has no `kind`".to_owned()));
    };
    match kind.as_str() {
        "organisation" => parse_fields(map).map(Object::Organisation),
        "model" => parse_fields(map).map(Object::Model),
        "version" => parse_fields(map).map(Object::Version),
        "adapter" => parse_fields(map).map(Object::Adapter),
        "zone" => parse_fields(map).map(Object::Zone),
        "upstream" => parse_fields(map).map(Object::Upstream),
        "store" => parse_fields(map).map(Object::Store),
        "service" => parse_fields(map).map(Object::Service),
        "link" => parse_fields(map).map(Object::Link),
        "profile" => parse_fields(map).map(Object::Profile),
        other => Err(error("kind", format!("unknown kind `{other}`"))),
    }
}

fn parse_fields<T: DeserializeOwned>(map: Map<String, Value>) -> Result<T, ObjectError> {
    serde_path_to_error::deserialize(Value::Object(map)).map_err(|error| {
        let path = error.path().to_string();
        let path = if path == "." { String::new() } else { path };
        ObjectError { path, message: error.into_inner().to_string() }
    })
}

fn top_level_diagnostic(text: &str, error: &serde_json::Error) -> Diagnostic {
    let before: usize =
        text.split_inclusive('\n').take(error.line().saturating_sub(1)).map(str::len).sum();
    let start = (before + error.column().saturating_sub(1)).min(text.len());
    Diagnostic { span: start..start, message: error.to_string() }
}

/// Byte range of `part`, a slice of `text`, within `text`.
fn span_of(text: &str, part: &str) -> Range<usize> {
    let start = (part.as_ptr() as usize).saturating_sub(text.as_ptr() as usize);
    start..start + part.len()
}

/// Byte range of the first field name of `path` in the object at `span`, or else `span` itself.
fn field_span(text: &str, span: Range<usize>, path: &str) -> Range<usize> {
    let end = path.find(['.', '[']).unwrap_or(path.len());
    let quoted = format!("\"{}\"", &path[..end]);
    match text.get(span.clone()).and_then(|object| object.find(&quoted)) {
        Some(at) if end > 0 => span.start + at..span.start + at + quoted.len(),
        _ => span,
    }
}
