//! A document as a file: JSON, with the place of every mistake.
//!
//! Each object is read on its own, so that one mistake does not hide the next.

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

/// A document and where its objects stand in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The revision that the file was got at.
    pub revision: Option<Revision>,
    /// The objects.
    pub document: Document,
    /// Bytes of the text that each object takes.
    spans: Vec<Range<usize>>,
}

/// Text that can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Diagnostic {
    /// Bytes of the text that are at fault.
    pub span: Range<usize>,
    /// What is wrong.
    pub message: String,
}

/// The top level of a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Top<'a> {
    revision: Option<Revision>,
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

impl File {
    /// Reads a file; every mistake in it at once.
    pub fn parse(text: &str) -> Result<Self, Vec<Diagnostic>> {
        if text.len() > BYTES_LIMIT {
            let message = format!("the file is above {BYTES_LIMIT} bytes");
            return Err(vec![Diagnostic { span: 0..0, message }]);
        }
        let top: Top<'_> = serde_json::from_str(text).map_err(|e| vec![top_mistake(text, &e)])?;
        let mut file =
            Self { revision: top.revision, document: Document::default(), spans: Vec::new() };
        let mut mistakes = Vec::new();
        for raw in top.objects {
            let span = range(text, raw.get());
            match object(raw.get()) {
                Ok(object) => {
                    file.document.objects.push(object);
                    file.spans.push(span);
                }
                Err(fault) => mistakes.push(fault.at(text, span)),
            }
        }
        if mistakes.is_empty() { Ok(file) } else { Err(mistakes) }
    }

    /// Where a problem of the document stands in the text that it was read from.
    pub fn span(&self, text: &str, problem: &Problem) -> Option<Range<usize>> {
        let same = |o: &&Object| o.kind() == problem.kind && *o.name() == problem.object;
        // The last of several with one name is the one at fault.
        let index = self.document.objects.iter().rposition(|o| same(&o))?;
        let span = self.spans.get(index)?.clone();
        Some(field(text, span, &problem.field))
    }
}

/// A mistake within one object.
struct Fault {
    path: String,
    message: String,
}

impl Fault {
    fn at(self, text: &str, span: Range<usize>) -> Diagnostic {
        let Self { path, message } = self;
        let span = field(text, span, &path);
        let message = if path.is_empty() { message } else { format!("`{path}`: {message}") };
        Diagnostic { span, message }
    }
}

/// Reads one object by its kind, so that the path to a mistake is kept.
fn object(raw: &str) -> Result<Object, Fault> {
    let fault = |path: &str, message: String| Fault { path: path.to_owned(), message };
    let mut map: Map<String, Value> =
        serde_json::from_str(raw).map_err(|e| fault("", e.to_string()))?;
    let Some(Value::String(kind)) = map.remove("kind") else {
        return Err(fault("", "an object needs a `kind`".to_owned()));
    };
    match kind.as_str() {
        "organisation" => typed(map).map(Object::Organisation),
        "model" => typed(map).map(Object::Model),
        "version" => typed(map).map(Object::Version),
        "adapter" => typed(map).map(Object::Adapter),
        "zone" => typed(map).map(Object::Zone),
        "upstream" => typed(map).map(Object::Upstream),
        "store" => typed(map).map(Object::Store),
        "service" => typed(map).map(Object::Service),
        "link" => typed(map).map(Object::Link),
        "profile" => typed(map).map(Object::Profile),
        other => Err(fault("kind", format!("there is no kind `{other}`"))),
    }
}

fn typed<T: DeserializeOwned>(map: Map<String, Value>) -> Result<T, Fault> {
    serde_path_to_error::deserialize(Value::Object(map)).map_err(|error| {
        let path = error.path().to_string();
        let path = if path == "." { String::new() } else { path };
        Fault { path, message: error.into_inner().to_string() }
    })
}

fn top_mistake(text: &str, error: &serde_json::Error) -> Diagnostic {
    let before: usize =
        text.split_inclusive('\n').take(error.line().saturating_sub(1)).map(str::len).sum();
    let start = (before + error.column().saturating_sub(1)).min(text.len());
    Diagnostic { span: start..start, message: error.to_string() }
}

/// Where `part`, a slice of `text`, stands in it.
fn range(text: &str, part: &str) -> Range<usize> {
    let start = (part.as_ptr() as usize).saturating_sub(text.as_ptr() as usize);
    start..start + part.len()
}

/// Where the first name of `path` stands within the object at `span`; else the whole object.
fn field(text: &str, span: Range<usize>, path: &str) -> Range<usize> {
    let end = path.find(['.', '[']).unwrap_or(path.len());
    let quoted = format!("\"{}\"", &path[..end]);
    match text.get(span.clone()).and_then(|object| object.find(&quoted)) {
        Some(at) if end > 0 => span.start + at..span.start + at + quoted.len(),
        _ => span,
    }
}
