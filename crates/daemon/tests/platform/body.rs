//! Long bodies of requests.

use std::time::Duration;

use crate::fixture::{self, Fixture};
use crate::raw::{self, Answer, End};

/// Regression, LOST: an engine that read a long body late counted as lost.
#[tokio::test(flavor = "multi_thread")]
async fn engine_reads_long_body_late() {
    const BODY: &[u8] = &[b'x'; 256 << 10];
    const REST: [&str; 3] = ["id: 2\ndata: x\n\n", "id: 3\ndata: x\n\n", ""];
    let fixture = Fixture::start(1).await;
    fixture.unregister_engines();
    let raw = raw::Server::start(|request| {
        let mut bytes = raw::head(request, "\r\n");
        bytes.extend(b"id: 1\ndata: x\n\n");
        Answer { bytes, end: End::Drip(Duration::from_millis(500), &REST) }
    })
    .await;
    fixture.register(&raw, "llm");
    let headers = fixture.prompt("raw-prompt", 1);
    let mut answer = None;
    fixture::eventually("the engine is asked", async || {
        let address = fixture.address(0);
        answer = Some(fixture::call(address, "POST", "/long/", &headers, BODY).await);
        !raw.requests().is_empty()
    })
    .await;
    assert_eq!(answer.unwrap().event_ids(), [1, 2, 3]);
    fixture.stop().await;
}
