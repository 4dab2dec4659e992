//! Heads of requests and responses.

use std::ops::RangeInclusive;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use strum::IntoStaticStr;

use crate::connection::Fault;

/// Valid status codes (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
/// Maximum number of header fields in a response.
const MAX_FIELDS: usize = 96;

/// Head of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the peer keeps the connection open after the response.
    pub keeps_alive: bool,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// By its length, in bytes.
    Length(u64),
    /// By chunked encoding.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Head {
    /// Parses a head at the start of `buffer` and removes it; `None` if it is incomplete.
    ///
    /// # Errors
    /// If the bytes are not a valid HTTP/1 response head.
    pub fn parse(buffer: &mut BytesMut, method: &Method) -> Result<Option<Self>, Fault> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let length = match response.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Fault::Malformed),
        };
        let code = response.code.filter(|code| STATUS_CODES.contains(code));
        let status = code.and_then(|code| StatusCode::from_u16(code).ok());
        let status = status.ok_or(Fault::Malformed)?;
        let mut headers = HeaderMap::with_capacity(response.headers.len());
        for field in response.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let value = HeaderValue::from_bytes(field.value);
            let (Ok(name), Ok(value)) = (name, value) else { return Err(Fault::Malformed) };
            headers.append(name, value);
        }
        let is_http_1_1 = response.version == Some(1);
        let framing = framing(status, &headers, method)?;
        let keeps_alive = is_http_1_1 && !has_token(&headers, "close") && framing != Framing::Close;
        let _ = buffer.split_to(length);
        Ok(Some(Self { status, headers, framing, keeps_alive }))
    }
}

/// Determines the framing of a response body by the rules of HTTP/1.1.
fn framing(status: StatusCode, headers: &HeaderMap, method: &Method) -> Result<Framing, Fault> {
    if method == Method::HEAD || matches!(status.as_u16(), 100..=199 | 204 | 304) {
        return Ok(Framing::Length(0));
    }
    let lengths: Vec<&HeaderValue> = headers.get_all(CONTENT_LENGTH).iter().collect();
    if let Some(encoding) = headers.get(TRANSFER_ENCODING) {
        let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        let is_only = headers.get_all(TRANSFER_ENCODING).iter().count() == 1 && lengths.is_empty();
        return if is_chunked && is_only { Ok(Framing::Chunked) } else { Err(Fault::Malformed) };
    }
    let Some((first, others)) = lengths.split_first() else { return Ok(Framing::Close) };
    if others.iter().any(|other| other != first) {
        return Err(Fault::Malformed);
    }
    let length = first.to_str().ok().filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
    length.and_then(|text| text.parse().ok()).map(Framing::Length).ok_or(Fault::Malformed)
}

/// Whether the `Connection` field contains a token.
fn has_token(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|name| name.trim().eq_ignore_ascii_case(token))
}

/// Encodes the head of a request whose body has `body_bytes` bytes. Framing fields in `headers` are
/// replaced.
pub fn encode_head(method: &Method, target: &str, headers: &HeaderMap, body_bytes: usize) -> Bytes {
    let mut bytes = BytesMut::with_capacity(512);
    bytes.put_slice(method.as_str().as_bytes());
    bytes.put_u8(b' ');
    bytes.put_slice(target.as_bytes());
    bytes.put_slice(b" HTTP/1.1\r\n");
    for (name, value) in headers {
        if *name == CONTENT_LENGTH || *name == TRANSFER_ENCODING {
            continue;
        }
        bytes.put_slice(name.as_str().as_bytes());
        bytes.put_slice(b": ");
        bytes.put_slice(value.as_bytes());
        bytes.put_slice(b"\r\n");
    }
    if body_bytes > 0 || matches!(*method, Method::POST | Method::PUT | Method::PATCH) {
        bytes.put_slice(format!("content-length: {body_bytes}\r\n").as_bytes());
    }
    bytes.put_slice(b"\r\n");
    bytes.freeze()
}
