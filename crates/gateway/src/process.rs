//! The process of an instance: settings, signals and log.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use acacia_platform::{Settings, settings};
use acacia_policy::gateway::Placement;
use miette::IntoDiagnostic;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

use crate::instance::{self, Command};
use crate::log;

/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Runs an instance until `SIGTERM`.
///
/// # Errors
/// If the settings are invalid, or an address is in use.
pub fn run() -> miette::Result<()> {
    let settings = Settings::read(&settings::path()).into_diagnostic()?;
    let (_guard, dropped) = log::start()?;
    let signals = async |settings: &Settings| {
        let (commands, received) = mpsc::unbounded_channel();
        let watcher = Watcher { settings: settings.clone(), modified: modified() };
        tokio::task::spawn_local(async move {
            if let Err(error) = forward_commands(watcher, commands).await {
                tracing::error!(%error, "failed to install signal handlers; the process stops");
            }
        });
        received
    };
    instance::run(settings, Placement::default(), Some(dropped), signals)
}

/// Checks the settings without starting anything; returns the path of the settings file.
///
/// # Errors
/// If they are invalid.
pub fn check() -> miette::Result<PathBuf> {
    let path = settings::path();
    Settings::read(&path).into_diagnostic()?;
    Ok(path)
}

/// Turns signals and changes of the settings file into commands, until `SIGTERM`.
async fn forward_commands(
    mut watcher: Watcher,
    commands: mpsc::UnboundedSender<Command>,
) -> std::io::Result<()> {
    let mut terminate: Signal = signal(SignalKind::terminate())?;
    let mut reload: Signal = signal(SignalKind::hangup())?;
    let mut poll = tokio::time::interval(SETTINGS_POLL);
    loop {
        let changed = tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => watcher.reload("signal"),
            _ = poll.tick() => watcher.poll(),
        };
        if let Some(settings) = changed {
            // The instance receives commands until it stops; sending fails only after that.
            let _ = commands.send(Command::Change(Box::new(settings)));
        }
    }
    let _ = commands.send(Command::Stop);
    Ok(())
}

/// Watches the settings file.
struct Watcher {
    settings: Settings,
    modified: Option<SystemTime>,
}

impl Watcher {
    /// Reloads the settings if the file has changed.
    fn poll(&mut self) -> Option<Settings> {
        let current = modified();
        if current == self.modified {
            return None;
        }
        self.modified = current;
        self.reload("file")
    }

    /// Reloads the settings; invalid ones are ignored.
    fn reload(&mut self, cause: &str) -> Option<Settings> {
        match Settings::read(&settings::path()) {
            Ok(settings) => {
                let is_changed = settings != self.settings;
                tracing::info!(cause, is_changed, "reloaded the settings");
                self.settings = settings;
                Some(self.settings.clone())
            }
            Err(problem) => {
                tracing::error!(cause, %problem, "invalid settings ignored");
                None
            }
        }
    }
}

fn modified() -> Option<SystemTime> {
    std::fs::metadata(settings::path()).and_then(|data| data.modified()).ok()
}
