//! W3C trace context.

use std::fmt::{self, Display, Formatter};

use rand::RngExt;

/// Header that carries the trace context.
pub const HEADER: &str = "traceparent";

/// The trace that a request belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Trace {
    /// Id of the trace; never zero.
    pub id: u128,
    /// Id of the caller's span; zero if the trace starts with this request.
    pub parent: u64,
    /// Whether the trace is to be recorded.
    pub sampled: bool,
}

impl Trace {
    /// Parses a header; starts a new trace if it is missing or malformed.
    pub fn from_header(header: Option<&str>) -> Self {
        header.and_then(Self::parse).unwrap_or_else(|| {
            let id = rand::rng().random::<u128>().max(1);
            Self { id, parent: 0, sampled: true }
        })
    }

    /// Parses `version-id-parent-flags`, all in lowercase hex.
    fn parse(header: &str) -> Option<Self> {
        let mut fields = header.split('-');
        let version = hex(fields.next()?, 2)?;
        let id = hex(fields.next()?, 32)?;
        let parent = hex(fields.next()?, 16)?;
        let flags = hex(fields.next()?, 2)?;
        let extra = fields.next().is_some();
        if version == 0xff || (version == 0 && extra) || id == 0 || parent == 0 {
            return None;
        }
        Some(Self { id, parent: u64::try_from(parent).ok()?, sampled: flags & 1 == 1 })
    }
}

impl Display for Trace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.id)
    }
}

/// Parses a number of exactly `digits` lowercase hex digits.
fn hex(text: &str, digits: usize) -> Option<u128> {
    let is_hex = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if text.len() != digits || !is_hex {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}
