//! Probes of paths to upstreams, by connections without a request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_policy::gateway::Probe;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::traffic::Traffic;

/// Connect timeout, as for requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a connection must stay open. One that isn't served is reset at once.
const OPEN_TIME: Duration = Duration::from_millis(30);

/// Probes suspected and lost paths until it is dropped.
pub async fn run(traffic: Rc<Traffic>) {
    loop {
        let now = traffic.now();
        let probes = traffic.gateway.borrow_mut().probes(now);
        traffic.report_paths();
        for probe in probes {
            tokio::task::spawn_local(execute(traffic.clone(), probe));
        }
        let wait = traffic.gateway.borrow().next_probes(now).saturating_sub(now);
        // A doubt ends the wait.
        let _ = timeout(wait, traffic.path_doubts.notified()).await;
    }
}

async fn execute(traffic: Rc<Traffic>, probe: Probe) {
    let mut connections: FuturesUnordered<_> =
        probe.addresses.into_iter().map(stays_open).collect();
    let mut is_open = false;
    while let (false, Some(next)) = (is_open, connections.next().await) {
        is_open = next;
    }
    let now = traffic.now();
    traffic.gateway.borrow_mut().probed(now, &probe.service, is_open);
    traffic.report_paths();
    // A loss puts the paths to the other services in doubt.
    traffic.path_doubts.notify_one();
}

/// Whether an upstream accepts a connection and keeps it.
async fn stays_open(address: SocketAddr) -> bool {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    match timeout(OPEN_TIME, stream.peek(&mut [0])).await {
        Ok(read) => read.is_ok_and(|bytes| bytes > 0),
        Err(_) => true,
    }
}
