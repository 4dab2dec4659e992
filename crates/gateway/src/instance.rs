//! A running gateway instance: starts and stops its control and traffic threads.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use acacia_platform::Settings;
use acacia_policy::gateway::canary;
use acacia_policy::gateway::memory;
use acacia_policy::gateway::mesh::Pacing;
use acacia_policy::gateway::window::{ColdTerms, RetryTerms};
use acacia_policy::gateway::{Gateway, Placement, Terms, View};
use miette::IntoDiagnostic;
use rand::RngExt;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::LocalSet;
use tracing_appender::non_blocking::ErrorCounter;

use crate::canary::{self as orders, Resolutions};
use crate::clock::Clock;
use crate::control::Control;
use crate::gossip;
use crate::handover;
use crate::listener::{listen, serve, serve_metrics, serve_ready};
use crate::log::Budget;
use crate::memory::Memory;
use crate::metric::Metrics;
use crate::probe;
use crate::request::Origin;
use crate::traffic::{Phase, Traffic};

/// Time after the stop command for which new connections are still accepted. The platform probes
/// readiness each second and stops sending callers after the second negative answer.
const DRAIN_DELAY: Duration = Duration::from_millis(2_700);
/// Interval between checks whether all connections are closed.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Interval in which an instance that stops repeats its open streams, as the others may be restarted
/// meanwhile and datagrams may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How long before the platform kills the process it exits by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Interval between reports of dropped log lines.
const LINES_POLL: Duration = Duration::from_secs(1);
/// Time without the metadata store after which requests are no longer refused on the strength of
/// its last known contents. A short fault of a single call is over by then.
const STALE_AFTER: Duration = Duration::from_millis(500);

/// An instance on threads of its own. A process may run several.
pub struct Instance {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    thread: JoinHandle<miette::Result<()>>,
}

/// A command to a running instance.
#[derive(Debug)]
pub enum Command {
    /// Apply other settings.
    Change(Box<Settings>),
    /// Finish open requests and stop.
    Stop,
}

impl Instance {
    /// Starts an instance. The caller sets up the process's log.
    ///
    /// # Errors
    /// If no thread can be started. An address already in use is reported by [`Self::stop`].
    pub fn start(settings: Settings, placement: Placement) -> miette::Result<Self> {
        let (address, ready) = (settings.traffic_address, settings.ready_address);
        let (commands, received) = mpsc::unbounded_channel();
        let thread = std::thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || run(settings, placement, None, async move |_| received))
            .into_diagnostic()?;
        Ok(Self { address, ready, commands, thread })
    }

    /// Stops the instance gracefully and waits for its threads to end.
    ///
    /// # Errors
    /// If the instance could not listen, or its traffic thread panicked.
    pub fn stop(self) -> miette::Result<()> {
        // Sending fails if the instance ended by itself; joining it then returns the error.
        let _ = self.commands.send(Command::Stop);
        match self.thread.join() {
            Ok(ended) => ended,
            Err(_) => Err(miette::miette!("the traffic thread panicked")),
        }
    }
}

/// Runs an instance on this thread until it receives [`Command::Stop`]. `commands` is called once
/// the runtime of the traffic thread exists.
pub(crate) fn run(
    settings: Settings,
    placement: Placement,
    dropped_lines: Option<ErrorCounter>,
    commands: impl AsyncFnOnce(&Settings) -> mpsc::UnboundedReceiver<Command>,
) -> miette::Result<()> {
    let clock = Clock::start();
    let metrics = Metrics::new().into_diagnostic()?;
    let (views, new_views) = watch::channel(None);
    let (stop, stopped) = watch::channel(false);
    let (resolved, resolutions) = watch::channel(Resolutions::default());
    let view_doubts = Arc::<Notify>::default();
    let control = {
        let (settings, metrics, doubts) = (settings.clone(), metrics.clone(), view_doubts.clone());
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let control = Control::new(clock, settings, metrics, views, doubts, resolutions);
                control_thread(control, stopped);
            })
            .into_diagnostic()?
    };
    let traffic = Rc::new(Traffic { view_doubts, ..traffic(clock, &settings, placement, metrics) });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = LocalSet::new().block_on(&runtime.into_diagnostic()?, async {
        let commands = commands(&settings).await;
        tokio::task::spawn_local(report_dropped_lines(traffic.clone(), dropped_lines));
        tokio::task::spawn_local(orders::run(traffic.clone(), resolved));
        serve_all(traffic, settings, new_views, commands).await
    });
    stop.send_replace(true);
    if control.join().is_err() {
        tracing::error!("the control thread panicked");
    }
    tracing::info!("stopped");
    ended
}

/// State of the traffic thread as it starts.
fn traffic(clock: Clock, settings: &Settings, placement: Placement, metrics: Metrics) -> Traffic {
    let terms = Terms { placement, ..terms(settings) };
    let memory = Memory::default();
    memory.set_terms(memory_terms(settings));
    Traffic {
        clock,
        gateway: RefCell::new(Gateway::new(terms, rand::rng().random())),
        pool: RefCell::default(),
        metrics,
        log_budget: Budget::default(),
        memory,
        phase: Cell::new(Phase::Serving),
        is_informed: Cell::new(false),
        ends: Cell::new(None),
        limits: watch::Sender::default(),
        weights: watch::Sender::default(),
        view_time: watch::Sender::default(),
        view_doubts: Arc::default(),
        path_changes: watch::Sender::default(),
        path_doubts: Notify::new(),
        untold_prompts: Notify::new(),
        open_connections: Cell::new(0),
    }
}

/// Runs the control thread.
fn control_thread(control: Control, stopped: watch::Receiver<bool>) {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => {
            LocalSet::new().block_on(&runtime, Rc::new(control).run(stopped));
        }
        Err(error) => tracing::error!(%error, "the control thread can't start"),
    }
}

/// Runs the traffic thread.
async fn serve_all(
    traffic: Rc<Traffic>,
    settings: Settings,
    new_views: watch::Receiver<Option<Arc<View>>>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) -> miette::Result<()> {
    let (phases, phase) = watch::channel(Phase::Serving);
    let ready = listen(settings.ready_address).into_diagnostic()?;
    let callers = listen(settings.traffic_address).into_diagnostic()?;
    tokio::task::spawn_local(serve_ready(traffic.clone(), ready));
    tokio::task::spawn_local(serve(traffic.clone(), callers, phase.clone(), Origin::Caller));
    if let Some(address) = settings.metrics_address {
        let metrics = listen(address).into_diagnostic()?;
        tokio::task::spawn_local(serve_metrics(traffic.clone(), metrics));
    }
    if let Some(address) = settings.peer_address {
        let limits = settings.limits;
        let pacing = Pacing::of(limits.link, limits.processor, settings.pressure);
        tokio::task::spawn_local(gossip::run(traffic.clone(), address, pacing));
        match listen(address) {
            Ok(peers) => {
                let served = serve(traffic.clone(), peers, phase, Origin::Instance);
                tokio::task::spawn_local(served);
            }
            Err(error) => {
                tracing::error!(%error, %address, "requests of other instances are not served");
            }
        }
    }
    tokio::task::spawn_local(probe::run(traffic.clone()));
    tokio::task::spawn_local(handover::run(traffic.clone()));
    tokio::task::spawn_local(follow_views(traffic.clone(), new_views));
    tracing::info!(
        instance = settings.instance,
        zone = settings.zone,
        traffic = %settings.traffic_address,
        store = %settings.store_address,
        version = env!("CARGO_PKG_VERSION"),
        "started"
    );
    let mut grace = settings.bounds.grace;
    // The loop ends at the stop command, or when all senders are dropped.
    while let Some(Command::Change(settings)) = commands.recv().await {
        grace = settings.bounds.grace;
        let placement = traffic.gateway.borrow().terms().placement;
        traffic.gateway.borrow_mut().set_terms(Terms { placement, ..terms(&settings) });
        traffic.memory.set_terms(memory_terms(&settings));
    }
    shut_down(&traffic, &phases, grace).await;
    Ok(())
}

/// Drains the instance: it becomes unready first, so that callers connect to other instances.
async fn shut_down(traffic: &Traffic, phases: &watch::Sender<Phase>, grace: Duration) {
    let started = traffic.now();
    let enter = |phase| {
        tracing::info!(
            phase = ?phase,
            open_connections = traffic.open_connections.get(),
            "stopping"
        );
        traffic.phase.set(phase);
        phases.send_replace(phase);
        traffic.gateway.borrow_mut().repeat_streams(traffic.now());
    };
    enter(Phase::Leaving);
    tokio::time::sleep(DRAIN_DELAY.min(grace / 2)).await;
    enter(Phase::Closing);
    let ends = started + grace.saturating_sub(GRACE_MARGIN);
    traffic.ends.set(Some(ends));
    let mut repeated = traffic.now();
    while traffic.open_connections.get() > 0 && traffic.now() < ends {
        tokio::time::sleep(STOP_POLL).await;
        if traffic.now() >= repeated + REPEAT_INTERVAL {
            repeated = traffic.now();
            traffic.gateway.borrow_mut().repeat_streams(repeated);
        }
    }
}

/// Applies each new view.
async fn follow_views(traffic: Rc<Traffic>, mut new_views: watch::Receiver<Option<Arc<View>>>) {
    while new_views.changed().await.is_ok() {
        let view = new_views.borrow_and_update().clone();
        if let Some(view) = view {
            traffic.observe(view);
        }
    }
}

/// Reports log lines that were dropped, by the budget or by the writer.
async fn report_dropped_lines(traffic: Rc<Traffic>, counter: Option<ErrorCounter>) {
    let mut before = 0;
    loop {
        tokio::time::sleep(LINES_POLL).await;
        let now = counter.as_ref().map_or(0, ErrorCounter::dropped_lines);
        let lines = traffic.log_budget.dropped() + (now - before) as u64;
        before = now;
        if lines > 0 {
            traffic.metrics.lines_dropped(lines);
            tracing::info!(lines, "log lines dropped");
        }
    }
}

/// The limits of the machine from the settings.
fn memory_terms(settings: &Settings) -> memory::Terms {
    memory::Terms::new(settings.limits.memory, settings.limits.descriptors)
}

/// The deployment's limits from the settings.
fn terms(settings: &Settings) -> Terms {
    let bounds = &settings.bounds;
    Terms {
        zone: settings.zone.as_str().into(),
        retries: RetryTerms {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        },
        cold: ColdTerms { factor: bounds.cold_factor, slack: bounds.cold_slack },
        weights_limit: bounds.weights,
        stale_after: STALE_AFTER,
        placement: Placement::default(),
        under_pressure: settings.pressure,
        canary: canary::Terms {
            share: bounds.expose_share,
            slack: bounds.expose_slack,
            rollback: bounds.rollback,
        },
    }
}
