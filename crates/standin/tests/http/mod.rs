//! HTTP calls that keep the part of an answer received before the connection dropped.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;

use acacia_standin::engine::wire::Chunk;
use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Result of a call.
pub struct Reply {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Bytes,
    /// Whether the connection dropped before the end of the answer.
    pub disconnected: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().expect("text"))
    }

    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("JSON of the protocol")
    }

    /// The chunks of a stream, and whether it ended with `[DONE]`.
    pub fn events(&self) -> (Vec<Chunk>, bool) {
        let text = std::str::from_utf8(&self.body).expect("text");
        let datas: Vec<_> = text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")).collect();
        let done = datas.last() == Some(&"[DONE]");
        let chunks = datas.iter().filter(|data| **data != "[DONE]");
        (chunks.map(|data| serde_json::from_str(data).expect("a chunk")).collect(), done)
    }

    #[track_caller]
    pub fn expect_error(&self, status: u16, code: &str) {
        let body: Value = self.json();
        assert_eq!((self.status, body["error"]["code"].as_str()), (status, Some(code)));
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Reply {
    send(client().get(url(address, path))).await
}

pub async fn post(address: SocketAddr, path: &str, id: &str, body: &Value) -> Reply {
    send(client().post(url(address, path)).header("x-request-id", id).json(body)).await
}

pub async fn put(
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    body: Bytes,
) -> Reply {
    let call = client().put(url(address, path)).body(body);
    send(headers.iter().fold(call, |call, (name, value)| call.header(*name, value))).await
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

pub fn client() -> reqwest::Client {
    let _ = rustls::crypto::ring::default_provider().install_default();
    let builder = reqwest::Client::builder().no_proxy().tls_certs_only([]);
    builder.build().expect("a client")
}

pub async fn send(call: reqwest::RequestBuilder) -> Reply {
    let nothing = || Reply {
        status: 0,
        headers: http::HeaderMap::new(),
        body: Bytes::new(),
        disconnected: true,
    };
    let Ok(mut answer) = call.send().await else { return nothing() };
    let (status, headers) = (answer.status().as_u16(), answer.headers().clone());
    let mut body = BytesMut::new();
    loop {
        match answer.chunk().await {
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            ended => {
                let disconnected = ended.is_err();
                return Reply { status, headers, body: body.freeze(), disconnected };
            }
        }
    }
}
