//! The connections to every upstream.

use std::time::Duration;

use acacia_catalog::id::Incarnation;
use http::HeaderMap;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle connections kept to one upstream.
const IDLE_CONNECTIONS: usize = 256;

/// Header that names an attempt.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that names an upstream's process life.
pub const INCARNATION: &str = "x-incarnation";

/// A set of connections that clients share.
#[derive(Clone, Debug)]
pub struct Pool(reqwest::Client);

impl Pool {
    /// An empty pool.
    ///
    /// # Panics
    ///
    /// When the TLS library can't be set up, which no input can cause.
    pub fn new() -> Self {
        // Fails only when a provider is installed already, which is as good.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .tcp_nodelay(true)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .http1_only()
            .build()
            .expect("client settings are constant");
        Self(client)
    }

    /// A request to `url`.
    pub(crate) fn request(&self, method: http::Method, url: String) -> reqwest::RequestBuilder {
        self.0.request(method, url)
    }
}

impl Default for Pool {
    fn default() -> Self {
        Self::new()
    }
}

/// The process life that an answer names; zero when it names none.
pub(crate) fn incarnation(headers: &HeaderMap) -> Incarnation {
    headers.get(INCARNATION).and_then(|v| v.to_str().ok()?.parse().ok()).unwrap_or_default()
}
