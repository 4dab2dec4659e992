//! A plain service that counts its runs by idempotency key and by body reference.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::counter::{Counter, Tally};
use crate::exchange::{Answer, Body, Call, Reply};
use crate::fault::Fault;
use crate::host::{self, Standin, consume};
use crate::pace::scaled;
use crate::slots::Slots;
use crate::warmth::{Admission, Guard, Refusal};

/// A running plain service.
pub type Handle = host::Handle<State>;

/// Settings of the service; durations are model time.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the protocol port.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Name reported in answers.
    pub name: String,
    /// First incarnation number.
    pub incarnation: u64,
    /// Run time of a call.
    pub latency: Duration,
    /// Maximum of calls that run concurrently.
    pub slots: usize,
    /// Maximum of waiting calls; further calls are refused as overloaded.
    pub queue: usize,
    /// Duration of a start, in which calls are refused.
    pub load_time: Duration,
    /// Duration of the cold phase after a start.
    pub cold_period: Duration,
    /// Maximum of calls in flight while cold; one more crashes the service.
    pub cold_limit: usize,
    /// Divisor of all model times.
    pub scale: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "service".to_owned(),
            incarnation: 1,
            latency: Duration::from_millis(5),
            slots: 64,
            queue: 1_024,
            load_time: Duration::from_millis(600),
            cold_period: Duration::from_secs(2),
            cold_limit: 2,
            scale: 1.0,
        }
    }
}

/// Serves a plain service.
///
/// # Errors
/// If a port can't be bound.
pub async fn start(settings: Settings) -> std::io::Result<Handle> {
    let (address, control) = (settings.address, settings.control);
    let state = Arc::new_cyclic(|this| State::new(settings, this.clone()));
    Handle::start(state, address, control).await
}

/// Number of runs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// Runs by idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// Runs by the `reference` in the body.
    pub by_reference: BTreeMap<String, u64>,
}

/// Answer of the service to a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Name of the service.
    pub service: String,
    /// Id of the attempt.
    pub request_id: String,
    /// Method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// `reference` in the body.
    pub reference: Option<String>,
    /// Number of runs of the key, or else of the reference, including this one.
    pub run: u64,
}

#[derive(Deserialize)]
struct Reference {
    reference: String,
}

/// State of the service.
pub struct State {
    this: std::sync::Weak<Self>,
    settings: Settings,
    tally: Tally,
    admission: Arc<Admission>,
    slots: Arc<Slots>,
    runs: Mutex<Runs>,
    truncated: AtomicU32,
}

impl State {
    fn new(settings: Settings, this: std::sync::Weak<Self>) -> Self {
        Self {
            this,
            tally: Tally::default(),
            admission: Admission::new(
                settings.incarnation,
                settings.slots + settings.queue,
                settings.cold_limit,
            ),
            slots: Slots::new(settings.slots),
            runs: Mutex::default(),
            truncated: AtomicU32::new(0),
            settings,
        }
    }

    /// Runs so far.
    pub fn runs(&self) -> Runs {
        self.runs.lock().clone()
    }

    async fn run(self: Arc<Self>, call: &Call) -> Reply {
        let guard = self.admit()?;
        let slot = self.slots.take(0).await;
        check_alive(&guard)?;
        let receipt = self.count(call);
        tokio::time::sleep(scaled(self.settings.latency, self.settings.scale)).await;
        check_alive(&guard)?;
        drop(slot);
        self.tally.count(Counter::Finished);
        let mut answer = Answer::json(StatusCode::OK, &receipt).with_effect();
        if consume(&self.truncated)
            && let Body::Complete(body) = &mut answer.body
        {
            body.truncate(body.len() / 2);
        }
        Ok(answer)
    }

    /// Counts a run and returns its receipt.
    fn count(&self, call: &Call) -> Receipt {
        self.tally.count(Counter::Started);
        self.tally.raise(Counter::RunningPeak, self.admission.warmth().in_flight as u64);
        let reference = call.json::<Reference>().ok().map(|body| body.reference);
        let key = call.header("idempotency-key");
        let mut runs = self.runs.lock();
        let by_key = (!key.is_empty()).then(|| increment(&mut runs.by_key, key));
        let by_reference = reference.as_ref().map(|name| increment(&mut runs.by_reference, name));
        let run = by_key.or(by_reference).unwrap_or(1);
        if run > 1 && !call.method.is_safe() {
            self.tally.count(Counter::Duplicates);
        }
        Receipt {
            service: self.settings.name.clone(),
            request_id: call.header("x-request-id").to_owned(),
            method: call.method.to_string(),
            path: call.path.clone(),
            reference,
            run,
        }
    }

    /// Admits a call until its guard is dropped; a crash restarts the service.
    fn admit(&self) -> Result<Guard, Answer> {
        let entered = self.admission.admit(&self.tally);
        if entered.as_ref().is_err_and(|refusal| *refusal == Refusal::FellOver) {
            self.restart();
        }
        entered.map_err(Refusal::answer)
    }

    fn restart(&self) {
        let Some(this) = self.this.upgrade() else { return };
        self.tally.count(Counter::Restarts);
        let mut warmth = self.admission.warmth();
        warmth.restart();
        let incarnation = warmth.incarnation;
        tokio::spawn(async move {
            let settings = &this.settings;
            tokio::time::sleep(scaled(settings.load_time, settings.scale)).await;
            let mut warmth = this.admission.warmth();
            if warmth.incarnation == incarnation {
                warmth.turn_cold(scaled(settings.cold_period, settings.scale));
            }
        });
    }
}

impl Standin for State {
    const NAME: &'static str = "service";

    fn tally(&self) -> &Tally {
        &self.tally
    }

    async fn respond(self: Arc<Self>, call: Call) -> Answer {
        let request_id = call.header("x-request-id").to_owned();
        let incarnation = self.admission.incarnation();
        let answer = self.run(&call).await.unwrap_or_else(|refusal| refusal);
        answer.with("x-request-id", request_id).with("x-incarnation", incarnation)
    }

    fn fault(&self, fault: &Fault) -> bool {
        match fault {
            Fault::Cold => {
                let period = scaled(self.settings.cold_period, self.settings.scale);
                self.admission.warmth().turn_cold(period);
            }
            Fault::Restart => self.restart(),
            Fault::Leaving { on } => self.admission.warmth().leaving = *on,
            Fault::TruncatedAnswer { times } => self.truncated.store(*times, Ordering::Relaxed),
            _ => return false,
        }
        true
    }

    fn control(&self, call: &Call) -> Option<Answer> {
        let is_runs_call = (&call.method, call.path.as_str()) == (&Method::GET, "/runs");
        is_runs_call.then(|| Answer::json(StatusCode::OK, &self.runs()))
    }
}

fn increment(runs: &mut BTreeMap<String, u64>, name: &str) -> u64 {
    let run = runs.entry(name.to_owned()).or_default();
    *run += 1;
    *run
}

/// Drops the connection if the service has restarted since the call was admitted.
fn check_alive(guard: &Guard) -> Result<(), Answer> {
    if guard.is_current() { Ok(()) } else { Err(Answer::disconnect()) }
}
