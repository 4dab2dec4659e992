//! Planned stops, while requests are on their way.

use std::time::Duration;

use crate::caller::{Answer, Caller, request_head};
use crate::fixture::Fixture;
use crate::raw;

/// Time from the stop signal to the last byte of a slow body: the instance takes no connections by then.
const SLOW_BODY: Duration = Duration::from_millis(3_500);
/// Time for which an upstream runs a request: it would answer after the instance has ended.
const LONG_RUN: Duration = Duration::from_secs(6);

/// Sends a request whose body is complete some time after the stop signal; its answer, if there is one.
async fn send_slowly(fixture: &Fixture, path: &str, id: &str, deadline_ms: u32) -> Option<Answer> {
    let mut headers = fixture.headers(id);
    headers.retain(|(name, _)| *name != "x-deadline-ms");
    headers.push(("x-deadline-ms", deadline_ms.to_string()));
    let mut caller = Caller::connect(fixture.address(0)).await?;
    caller.send(&request_head("POST", path, &headers, 2)).await?;
    caller.send(b"x").await?;
    tokio::time::sleep(SLOW_BODY).await;
    caller.send(b"x").await?;
    caller.answer().await
}

/// Regression, LOST of a report: a request that was complete late in a planned stop was passed on, and
/// cut with no answer at the end of the grace, although it may run once only.
#[tokio::test(flavor = "multi_thread")]
async fn request_complete_late_in_stop_is_refused() {
    let fixture = Fixture::start(1).await;
    fixture.unregister_services();
    let upstream = raw::Server::start_slow(LONG_RUN, |request| raw::Answer {
        bytes: raw::head(request, "content-length: 0\r\n\r\n"),
        end: raw::End::Close,
    })
    .await;
    fixture.register(&upstream, "app");
    fixture.answer_of(&upstream, "/charge/").await;
    let (late, _) = tokio::join!(send_slowly(&fixture, "/charge/", "late", 15_000), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fixture.terminate(0);
    });
    let late = late.expect("an answer");
    assert!(late.status == 503 && late.is_complete && late.retry_after.is_some(), "{late:?}");
    assert!(upstream.requests().iter().all(|request| request.id != "late"));
    fixture.stop().await;
}

/// A request that ends before the instance does is served.
#[tokio::test(flavor = "multi_thread")]
async fn request_complete_late_in_stop_is_served_within_grace() {
    let fixture = Fixture::start(1).await;
    let (late, _) = tokio::join!(send_slowly(&fixture, "/charge/", "late", 6_000), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fixture.terminate(0);
    });
    assert_eq!(late.expect("an answer").status, 200);
    fixture.stop().await;
}
