//! Serves a stand-in on two ports: its protocol and its control interface.

use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::ResBody;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::counter::{Counter, Counters, Tally};
use crate::exchange::{Answer, Body, Call};
use crate::fault::{Fault, Unsupported};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 8_192;
/// Longest wait for running calls when the stand-in stops.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Delay between two attempts to rebind a port.
const REBIND_WAIT: Duration = Duration::from_millis(5);

/// A kind of stand-in.
pub trait Standin: Send + Sync + 'static {
    /// Name in the start line and in errors.
    const NAME: &'static str;

    /// Counters of this stand-in.
    fn tally(&self) -> &Tally;

    /// Answers a call on the protocol port.
    fn respond(self: Arc<Self>, call: Call) -> impl Future<Output = Answer> + Send;

    /// Applies a fault specific to this kind; false if it is not supported.
    fn fault(&self, fault: &Fault) -> bool;

    /// Ends calls that would otherwise never return, such as watches, before a stop.
    fn close(&self) {}

    /// Answers a control call other than counters and faults.
    fn control(&self, _call: &Call) -> Option<Answer> {
        None
    }
}

/// A running stand-in; it stops when dropped.
pub struct Handle<S: Standin> {
    /// Address of the protocol port.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    injector: Arc<Injector<S>>,
    tasks: [JoinHandle<()>; 2],
}

impl<S: Standin> Handle<S> {
    /// Serves the protocol on `address` and control on `control`; port 0 selects a free port.
    pub(crate) async fn start(
        standin: Arc<S>,
        address: SocketAddr,
        control: SocketAddr,
    ) -> io::Result<Self> {
        let (availability, _) = watch::channel(Availability::Open);
        let injector = Arc::new(Injector {
            standin,
            delay_ms: AtomicU64::new(0),
            answers_to_lose: AtomicU32::new(0),
            lose_midway: AtomicBool::new(false),
            availability,
        });
        let traffic_acceptor = bind(address)?;
        let control_acceptor = bind(control)?;
        let address = traffic_acceptor.local_addr()?;
        let control = control_acceptor.local_addr()?;
        let tasks = [
            tokio::spawn(serve_traffic(traffic_acceptor, address, injector.clone())),
            tokio::spawn(serve(control_acceptor, Control(injector.clone()))),
        ];
        Ok(Self { address, control, injector, tasks })
    }

    /// State shared with other stand-ins of this process.
    pub fn state(&self) -> Arc<S> {
        self.injector.standin.clone()
    }

    /// Current values of all counters.
    pub fn counters(&self) -> Counters {
        self.injector.standin.tally().read()
    }

    /// Current value of one counter.
    pub fn count(&self, counter: Counter) -> u64 {
        self.counters().get(counter)
    }

    /// Applies or clears a fault.
    ///
    /// # Errors
    /// If this kind of stand-in does not support the fault.
    pub fn fault(&self, fault: Fault) -> Result<(), Unsupported> {
        self.injector.fault(&fault)
    }

    /// Accepts no new connections, waits for running calls and closes both ports.
    pub async fn stop(mut self) {
        self.injector.standin.close();
        self.injector.availability.send_replace(Availability::Stopping);
        let [traffic, _] = &mut self.tasks;
        let _ = traffic.await;
        self.kill();
    }

    /// Closes both ports and all connections immediately.
    pub fn kill(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl<S: Standin> Drop for Handle<S> {
    fn drop(&mut self) {
        self.kill();
    }
}

impl<S: Standin> Deref for Handle<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.injector.standin
    }
}

/// Whether the protocol port accepts and answers calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Availability {
    Open,
    Down,
    Frozen,
    Unreachable,
    Stopping,
}

/// Applies the faults common to all stand-ins, then calls the stand-in.
struct Injector<S> {
    standin: Arc<S>,
    delay_ms: AtomicU64,
    answers_to_lose: AtomicU32,
    /// Whether the next lost answer is cut halfway instead of before its first byte.
    lose_midway: AtomicBool,
    availability: watch::Sender<Availability>,
}

impl<S: Standin> Injector<S> {
    fn fault(&self, fault: &Fault) -> Result<(), Unsupported> {
        match fault {
            Fault::Slow { millis } => self.delay_ms.store(*millis, Ordering::Relaxed),
            Fault::LostAnswer { times } => self.answers_to_lose.store(*times, Ordering::Relaxed),
            Fault::Down { on } => self.set_availability(*on, Availability::Down),
            Fault::Frozen { on } => self.set_availability(*on, Availability::Frozen),
            Fault::Unreachable { on } => self.set_availability(*on, Availability::Unreachable),
            specific => {
                if !self.standin.fault(specific) {
                    return Err(Unsupported { standin: S::NAME, fault: specific.into() });
                }
            }
        }
        Ok(())
    }

    fn set_availability(&self, on: bool, availability: Availability) {
        self.availability.send_modify(|now| {
            if on {
                *now = availability;
            } else if *now == availability {
                *now = Availability::Open;
            }
        });
    }

    async fn answer(&self, call: Call) -> Answer {
        let tally = self.standin.tally();
        tally.count(Counter::Calls);
        tally.add(Counter::BytesIn, call.body.len() as u64);
        self.wait_until_thawed().await;
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if *self.availability.borrow() == Availability::Down {
            tally.count(Counter::Refused);
            return Answer::error(StatusCode::SERVICE_UNAVAILABLE, "unavailable", "down");
        }
        let answer = self.standin.clone().respond(call).await;
        if answer.effect && consume(&self.answers_to_lose) {
            self.lose_answer(answer)
        } else {
            answer
        }
    }

    /// Drops the connection, alternately before the first byte and halfway through the answer.
    fn lose_answer(&self, answer: Answer) -> Answer {
        self.standin.tally().count(Counter::AnswersLost);
        let is_midway = self.lose_midway.fetch_xor(true, Ordering::Relaxed);
        if is_midway { answer.disconnect_midway() } else { Answer::disconnect() }
    }

    async fn wait_until_thawed(&self) {
        let mut state = self.availability.subscribe();
        let _ = state.wait_for(|now| *now != Availability::Frozen).await;
    }
}

/// Decrements a remaining count; false if it was zero.
pub(crate) fn consume(times: &AtomicU32) -> bool {
    let decrement = |left: u32| left.checked_sub(1);
    times.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok()
}

fn bind(address: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit TCP_NODELAY, so that stream chunks are sent without delay.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.try_into()
}

/// Serves the protocol; the port is closed while the `unreachable` fault is on.
async fn serve_traffic<S: Standin>(
    mut acceptor: TcpAcceptor,
    address: SocketAddr,
    injector: Arc<Injector<S>>,
) {
    let mut state = injector.availability.subscribe();
    loop {
        tokio::select! {
            () = serve_until_stop(acceptor, &injector) => return,
            _ = state.wait_for(|now| *now == Availability::Unreachable) => {}
        }
        if state.wait_for(|now| *now != Availability::Unreachable).await.is_err() {
            return;
        }
        acceptor = rebind(address).await;
    }
}

/// Serves the protocol until stopped, then waits for running calls.
async fn serve_until_stop<S: Standin>(acceptor: TcpAcceptor, injector: &Arc<Injector<S>>) {
    let mut state = injector.availability.subscribe();
    let server = Server::new(acceptor).disable_fuse();
    let stop = server.handle();
    let mut serving = pin!(server.try_serve(router(Traffic(injector.clone()))));
    tokio::select! {
        _ = &mut serving => return,
        _ = state.wait_for(|now| *now == Availability::Stopping) => stop.stop_graceful(DRAIN_LIMIT),
    }
    let _ = serving.await;
}

async fn rebind(address: SocketAddr) -> TcpAcceptor {
    loop {
        match bind(address) {
            Ok(acceptor) => return acceptor,
            Err(_) => tokio::time::sleep(REBIND_WAIT).await,
        }
    }
}

async fn serve(acceptor: TcpAcceptor, handler: impl Handler) {
    let _ = Server::new(acceptor).disable_fuse().try_serve(router(handler)).await;
}

fn router(handler: impl Handler) -> Router {
    Router::with_path("{**rest}").goal(handler)
}

struct Traffic<S>(Arc<Injector<S>>);

#[async_trait]
impl<S: Standin> Handler for Traffic<S> {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let answer = match read(req).await {
            Ok(call) => self.0.answer(call).await,
            Err(answer) => answer,
        };
        if let Body::Complete(body) = &answer.body {
            self.0.standin.tally().add(Counter::BytesOut, body.len() as u64);
        }
        write(answer, res);
    }
}

struct Control<S>(Arc<Injector<S>>);

#[async_trait]
impl<S: Standin> Handler for Control<S> {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let answer = match read(req).await {
            Ok(call) => control(&self.0, &call),
            Err(answer) => answer,
        };
        write(answer, res);
    }
}

fn control<S: Standin>(injector: &Injector<S>, call: &Call) -> Answer {
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/counters") => {
            Answer::json(StatusCode::OK, &injector.standin.tally().read())
        }
        (&Method::POST, "/faults") => match call.json::<Fault>() {
            Ok(fault) => set_fault(injector, &fault),
            Err(answer) => answer,
        },
        _ => injector.standin.control(call).unwrap_or_else(Answer::unknown_path),
    }
}

fn set_fault<S: Standin>(injector: &Injector<S>, fault: &Fault) -> Answer {
    match injector.fault(fault) {
        Ok(()) => Answer::json(StatusCode::OK, fault),
        Err(error) => {
            Answer::error(StatusCode::UNPROCESSABLE_ENTITY, "unsupported_fault", &error.to_string())
        }
    }
}

async fn read(req: &mut Request) -> Result<Call, Answer> {
    let method = req.method().clone();
    let body = match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(body) => body.clone(),
        Err(_) if method == Method::GET => Bytes::new(),
        Err(error) => {
            let message = error.to_string();
            return Err(Answer::error(StatusCode::BAD_REQUEST, "bad_body", &message));
        }
    };
    Ok(Call {
        method,
        path: req.uri().path().to_owned(),
        query: req.uri().query().unwrap_or("").to_owned(),
        headers: req.headers().clone(),
        body,
    })
}

fn write(answer: Answer, res: &mut Response) {
    res.status_code(answer.status);
    res.set_headers(*answer.headers);
    match answer.body {
        Body::Complete(body) => {
            res.body(ResBody::Once(body));
        }
        Body::Stream(stream) => res.stream(stream),
    }
}
