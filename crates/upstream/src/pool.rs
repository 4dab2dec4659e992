//! HTTP connection pool for all upstreams.

use std::time::Duration;

use acacia_catalog::id::Incarnation;
use http::HeaderMap;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Header with the id of an attempt.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the incarnation of an upstream.
pub const INCARNATION: &str = "x-incarnation";

/// A connection pool that clients share.
#[derive(Clone, Debug)]
pub struct Pool(reqwest::Client);

impl Pool {
    /// Creates an empty pool.
    ///
    /// # Panics
    ///
    /// If the TLS library can't be initialised, which no input can cause.
    pub fn new() -> Self {
        // Fails only if a provider is installed already, which serves as well.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .tcp_nodelay(true)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .http1_only()
            .build()
            .expect("client settings are constant");
        Self(client)
    }

    /// Creates a request to `url`.
    pub(crate) fn request(&self, method: http::Method, url: String) -> reqwest::RequestBuilder {
        self.0.request(method, url)
    }
}

impl Default for Pool {
    fn default() -> Self {
        Self::new()
    }
}

/// The incarnation that a response names; zero if it names none.
pub(crate) fn incarnation(headers: &HeaderMap) -> Incarnation {
    headers.get(INCARNATION).and_then(|v| v.to_str().ok()?.parse().ok()).unwrap_or_default()
}
