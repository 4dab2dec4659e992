//! `acaciad`, the daemon of an entry instance.

use std::path::PathBuf;

use acacia_daemon::{Daemon, Settings, telemetry};
use bpaf::Bpaf;
use miette::IntoDiagnostic;
use tokio::signal::unix::{SignalKind, signal};

/// The daemon of an entry instance of acaciaarch.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    #[bpaf(external)]
    source: Source,
    /// Check the settings and exit
    check: bool,
}

/// Source of the settings.
#[derive(Bpaf, Clone, Debug)]
enum Source {
    File {
        /// Read the settings from this JSON file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Run on the platform, with the settings file that the environment names
    Platform,
}

fn main() -> miette::Result<()> {
    let arguments = arguments().run();
    let file = match &arguments.source {
        Source::File { settings } => settings,
        Source::Platform if arguments.check => {
            let path = acacia_gateway::check()?;
            println!("{}: the settings are good", path.display());
            return Ok(());
        }
        Source::Platform => return acacia_gateway::run(),
    };
    let settings = Settings::read(file).map_err(|fault| miette::Report::new(*fault))?;
    if arguments.check {
        println!("{}: the settings are good", file.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.into_diagnostic()?.block_on(run(settings))
}

async fn run(settings: Settings) -> miette::Result<()> {
    let traces = telemetry::start(&settings)?;
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let running = Daemon::start(settings)?;
    tracing::info!(
        caller = %running.caller_address(),
        operator = %running.operator_address(),
        peer = %running.peer_address(),
        "started"
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("stopping");
    running.stop().await;
    tracing::info!("stopped");
    if let Some(traces) = traces {
        // Traces that can't be exported are lost with the process.
        let _ = tokio::task::spawn_blocking(move || traces.shutdown()).await;
    }
    Ok(())
}
