//! Serves the stand-in that the subcommand selects.

use acacia_standin::command;
use miette::IntoDiagnostic;

#[tokio::main]
async fn main() -> miette::Result<()> {
    let command = command::options().run();
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter("warn").init();
    command::run(command).await.into_diagnostic()
}
