//! Reads the bodies of callers' requests.
//!
//! A request is refused by its head where that suffices, before its body is read. Load patterns: many
//! large bodies at once that stop short of their ends, or that go on without one, declared or in
//! chunks of any size; see [`crate::memory`].

use std::rc::Rc;
use std::time::Duration;

use acacia_policy::gateway::memory::OrganisationKey;
use acacia_policy::gateway::{Call, Preview, Reason, Refusal};
use acacia_policy::{Time, Verdict};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use crate::memory::Arrival;
use crate::request::{LEAVING, STOPPING};
use crate::traffic::{Phase, Traffic};

/// Size limit of a refused request's body that is skipped, in bytes. Its connection is closed then.
const DISCARD_BYTES: usize = 16 << 20;
/// Time limit for that.
const DISCARD_TIMEOUT: Time = Time::from_secs(10);
/// Shortest time after which a caller may return whose body found no memory. It is doubled at most,
/// at random, so that a crowd doesn't return at once.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reads a request's whole body, so that the request can be retried.
pub async fn read(
    traffic: &Rc<Traffic>,
    call: &Call,
    arrived: Time,
    is_forwarded: bool,
    mut body: Incoming,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let received = match check_head(traffic, call, arrived, is_forwarded, &body) {
        Ok((preview, limit)) => {
            let time = preview.deadline.saturating_sub(traffic.now());
            let received = receive(traffic, preview.organisation, &mut body, limit);
            let received = tokio::time::timeout(time, received).await;
            received.unwrap_or(Err(Reason::Expired)).map_err(refusal)
        }
        Err(refusal) => Err(refusal),
    };
    if received.is_err() {
        discard(body);
    }
    received
}

/// Checks what the head tells; returns the size limit of the body.
fn check_head(
    traffic: &Traffic,
    call: &Call,
    arrived: Time,
    is_forwarded: bool,
    body: &Incoming,
) -> Result<(Preview, usize), Refusal> {
    let gateway = traffic.gateway.borrow();
    let limit = match gateway.view() {
        Some(view) => view.configuration.limits.body_bytes,
        None => traffic.limits.borrow().body_bytes,
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(refusal(Reason::TooLarge));
    }
    let preview = gateway.preview(arrived, call)?;
    if is_forwarded && traffic.phase.get() != Phase::Serving {
        return Err(LEAVING);
    }
    if traffic.ends.get().is_some_and(|ends| preview.deadline > ends) {
        return Err(STOPPING);
    }
    Ok((preview, limit))
}

fn refusal(reason: Reason) -> Refusal {
    let retry_after = (reason == Reason::OutOfMemory)
        .then(|| MIN_RETRY_AFTER.mul_f64(1.0 + rand::random::<f64>()));
    Refusal { reason, verdict: Verdict::NotRun, retry_after }
}

/// Receives a body. One that arrives at once needs no memory of its own.
async fn receive(
    traffic: &Rc<Traffic>,
    organisation: OrganisationKey,
    body: &mut Incoming,
    limit: usize,
) -> Result<Bytes, Reason> {
    let most = body.size_hint().exact().map_or(limit, |bytes| limit.min(bytes as usize));
    let Some(first) = next(body, limit).await? else { return Ok(Bytes::new()) };
    if body.is_end_stream() {
        return Ok(first);
    }
    let mut left = limit - first.len();
    let Some(second) = next(body, left).await? else { return Ok(first) };
    left -= second.len();
    let arrival = Arrival::new(traffic, organisation);
    for bytes in [first, second] {
        arrival.push(&bytes, most).map_err(|_| Reason::OutOfMemory)?;
    }
    loop {
        let bytes = tokio::select! {
            biased;
            _ = arrival.lost() => return Err(Reason::OutOfMemory),
            bytes = next(body, left) => bytes?,
        };
        let Some(bytes) = bytes else { break };
        left -= bytes.len();
        arrival.push(&bytes, most).map_err(|_| Reason::OutOfMemory)?;
    }
    arrival.finish().map_err(|_| Reason::OutOfMemory)
}

/// The next bytes of a body that may have so many more; none at its end.
async fn next(body: &mut Incoming, left: usize) -> Result<Option<Bytes>, Reason> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Reason::Malformed)?;
        match frame.into_data() {
            Ok(bytes) if bytes.len() > left => return Err(Reason::TooLarge),
            Ok(bytes) => return Ok(Some(bytes)),
            Err(_) => {}
        }
    }
    Ok(None)
}

/// Skips the rest of a refused request's body, up to a limit. If the connection were closed before,
/// the caller would get a reset instead of the refusal.
pub fn discard(mut body: Incoming) {
    let rest = async move {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > DISCARD_BYTES {
                return;
            }
        }
    };
    tokio::task::spawn_local(tokio::time::timeout(DISCARD_TIMEOUT, rest));
}
