//! The process: its settings, its threads and its end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use acacia_platform::{Settings, settings};
use acacia_policy::gateway::window::{ColdTerms, RetryTerms};
use acacia_policy::gateway::{Gateway, Terms, View};
use miette::IntoDiagnostic;
use rand::RngExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tracing_appender::non_blocking::ErrorCounter;

use crate::clock::Clock;
use crate::control::Control;
use crate::gossip;
use crate::listener::{listen, serve, serve_metrics, serve_ready};
use crate::log::{self, Volume};
use crate::metric::Metrics;
use crate::traffic::{Phase, Traffic};

/// Time after the signal to stop for which new callers are still taken: the platform asks each
/// second, and sends none after the second answer that says no.
const LINGER: Duration = Duration::from_millis(2_700);
/// Time between looks at whether all requests are answered.
const STOP_LOOK: Duration = Duration::from_millis(50);
/// Time between looks at the settings file, which may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// Time before the kill when the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Time between notes on log lines that were left out.
const LINES_LOOK: Duration = Duration::from_secs(1);
/// Time without the store after which nothing is denied by what it said: a short fault of a single
/// call is over by then.
const STALE_AFTER: Duration = Duration::from_millis(500);

/// Runs an entry instance until it is told to stop.
///
/// # Errors
/// If the settings are wrong, or an address is taken.
pub fn run() -> miette::Result<()> {
    let path = settings::path();
    let settings = Settings::read(&path).into_diagnostic()?;
    let (_guard, dropped) = log::start()?;
    let clock = Clock::start();
    let metrics = Metrics::new().into_diagnostic()?;
    let (views, viewed) = watch::channel(None);
    let (stop, stopped) = watch::channel(false);
    let control = {
        let (settings, metrics) = (settings.clone(), metrics.clone());
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control(clock, settings, metrics, views, stopped))
            .into_diagnostic()?
    };
    let traffic = Rc::new(Traffic {
        clock,
        gateway: RefCell::new(Gateway::new(terms(&settings), rand::rng().random())),
        pool: RefCell::default(),
        metrics,
        volume: Volume::default(),
        phase: Cell::new(Phase::Serving),
        open: Cell::new(0),
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = LocalSet::new()
        .block_on(&runtime.into_diagnostic()?, serve_all(traffic, settings, viewed, dropped));
    stop.send_replace(true);
    if control.join().is_err() {
        tracing::error!("the control thread failed");
    }
    tracing::info!("stopped");
    ended
}

/// Checks the settings without starting anything; gives where they lie.
///
/// # Errors
/// If they are wrong.
pub fn check() -> miette::Result<std::path::PathBuf> {
    let path = settings::path();
    Settings::read(&path).into_diagnostic()?;
    Ok(path)
}

/// The control thread.
fn control(
    clock: Clock,
    settings: Settings,
    metrics: Metrics,
    views: watch::Sender<Option<Arc<View>>>,
    stopped: watch::Receiver<bool>,
) {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => {
            let control = Rc::new(Control::new(clock, settings, metrics, views));
            LocalSet::new().block_on(&runtime, control.run(stopped));
        }
        Err(error) => tracing::error!(%error, "the control thread can't start"),
    }
}

/// The traffic thread.
async fn serve_all(
    traffic: Rc<Traffic>,
    settings: Settings,
    viewed: watch::Receiver<Option<Arc<View>>>,
    dropped: ErrorCounter,
) -> miette::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut reload = signal(SignalKind::hangup()).into_diagnostic()?;
    let (phases, phase) = watch::channel(Phase::Serving);
    let ready = listen(settings.ready_address).into_diagnostic()?;
    let callers = listen(settings.traffic_address).into_diagnostic()?;
    tokio::task::spawn_local(serve_ready(traffic.clone(), ready));
    tokio::task::spawn_local(serve(traffic.clone(), callers, phase));
    if let Some(address) = settings.metrics_address {
        let metrics = listen(address).into_diagnostic()?;
        tokio::task::spawn_local(serve_metrics(traffic.clone(), metrics));
    }
    if let Some(address) = settings.peer_address {
        tokio::task::spawn_local(gossip::run(traffic.clone(), address));
    }
    tokio::task::spawn_local(observe(traffic.clone(), viewed));
    tokio::task::spawn_local(count_lines(traffic.clone(), dropped));
    tracing::info!(
        instance = settings.instance,
        zone = settings.zone,
        traffic = %settings.traffic_address,
        store = %settings.store_address,
        version = env!("CARGO_PKG_VERSION"),
        "started"
    );
    let grace = settings.bounds.grace;
    let mut current = Reading { settings, changed: modified() };
    let mut look = tokio::time::interval(SETTINGS_LOOK);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => current.reload(&traffic, "signal"),
            _ = look.tick() => current.look(&traffic),
        }
    }
    leave(&traffic, &phases, grace).await;
    Ok(())
}

/// Stops without cutting a request off: callers are sent elsewhere first.
async fn leave(traffic: &Traffic, phases: &watch::Sender<Phase>, grace: Duration) {
    let begun = traffic.now();
    let enter = |phase| {
        tracing::info!(phase = ?phase, open_connections = traffic.open.get(), "stopping");
        traffic.phase.set(phase);
        phases.send_replace(phase);
    };
    enter(Phase::Leaving);
    tokio::time::sleep(LINGER.min(grace / 2)).await;
    enter(Phase::Closing);
    while traffic.open.get() > 0 && traffic.now() < begun + grace.saturating_sub(GRACE_MARGIN) {
        tokio::time::sleep(STOP_LOOK).await;
    }
}

/// Takes each newer view in.
async fn observe(traffic: Rc<Traffic>, mut viewed: watch::Receiver<Option<Arc<View>>>) {
    while viewed.changed().await.is_ok() {
        let view = viewed.borrow_and_update().clone();
        if let Some(view) = view {
            traffic.observe(view);
        }
    }
}

/// Notes log lines that were left out.
async fn count_lines(traffic: Rc<Traffic>, dropped: ErrorCounter) {
    let mut before = 0;
    loop {
        tokio::time::sleep(LINES_LOOK).await;
        let unwritten = dropped.dropped_lines();
        let lines = traffic.volume.left_out() + (unwritten - before) as u64;
        before = unwritten;
        if lines > 0 {
            traffic.metrics.lines_dropped(lines);
            tracing::info!(lines, "log lines were left out");
        }
    }
}

/// The settings as they were read last.
struct Reading {
    settings: Settings,
    changed: Option<SystemTime>,
}

impl Reading {
    /// Reads the settings again if the file changed.
    fn look(&mut self, traffic: &Traffic) {
        let changed = modified();
        if changed != self.changed {
            self.changed = changed;
            self.reload(traffic, "file");
        }
    }

    /// Reads the settings again; wrong ones change nothing.
    fn reload(&mut self, traffic: &Traffic, cause: &str) {
        match Settings::read(&settings::path()) {
            Ok(settings) => {
                let is_changed = settings != self.settings;
                tracing::info!(cause, is_changed, "reloaded the settings");
                traffic.gateway.borrow_mut().set_terms(terms(&settings));
                self.settings = settings;
            }
            Err(problem) => tracing::error!(cause, %problem, "the settings stay as they were"),
        }
    }
}

fn modified() -> Option<SystemTime> {
    std::fs::metadata(settings::path()).and_then(|data| data.modified()).ok()
}

/// What the deployment allows, as decisions need it.
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
    }
}
