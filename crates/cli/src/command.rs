//! The command line, with one module per command.

mod apply;
mod capacity;
mod check;
mod demo;
mod diff;
mod generate;
mod get;
mod history;
mod load;
mod order;
mod rollback;
mod schema;
mod state;
mod status;
mod trace;

use bpaf::Bpaf;

use crate::Failure;
use crate::output::Format;

/// Operate acaciaarch: its configuration, availability zones, upstreams and weight versions
///
/// Exit codes: 0 done, 1 refused or invalid, 2 wrong command line, 3 conflict with another change,
/// 4 unreachable and nothing done, 5 outcome unknown (retry with the same change id), 6 accepted
/// but not yet in force on every live daemon.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Check a configuration file
    #[bpaf(command)]
    Check(#[bpaf(external(check::check))] check::Check),
    /// Show what a file would change, or what differs between two files
    #[bpaf(command)]
    Diff(#[bpaf(external(diff::diff))] diff::Diff),
    /// Put a configuration file in force
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::apply))] apply::Apply),
    /// Print the configuration in force, with secrets redacted
    #[bpaf(command)]
    Get(#[bpaf(external(get::get))] get::Get),
    /// Print accepted changes, latest first
    #[bpaf(command)]
    History(#[bpaf(external(history::history))] history::History),
    /// Put an earlier configuration in force
    #[bpaf(command)]
    Rollback(#[bpaf(external(rollback::rollback))] rollback::Rollback),
    /// Take an availability zone out of service or back
    #[bpaf(command)]
    Zone(#[bpaf(external(state::zone))] state::Zone),
    /// Take an upstream out of service or back
    #[bpaf(command)]
    Upstream(#[bpaf(external(state::upstream))] state::Upstream),
    /// Send an order to an upstream
    #[bpaf(command)]
    Order(#[bpaf(external(order::order))] order::Order),
    /// Show the state of daemons, upstreams and stores
    #[bpaf(command)]
    Status(#[bpaf(external(status::status))] status::Status),
    /// Show the hops of a recent request
    #[bpaf(command)]
    Trace(#[bpaf(external(trace::trace))] trace::Trace),
    /// Print the JSON Schema of configurations
    #[bpaf(command)]
    Schema(#[bpaf(external(schema::schema))] schema::Schema),
    /// Print a configuration of a stated size
    #[bpaf(command)]
    Generate(#[bpaf(external(generate::generate))] generate::Generate),
    /// Run a small workload against a whole system on loopback
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::demo))] demo::Demo),
    /// Run a user's workload under several strategies and compare them
    #[bpaf(command)]
    Load(#[bpaf(external(load::load))] load::Load),
    /// Measure costs and extrapolate them to the two-year size
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::capacity))] capacity::Capacity),
}

impl Command {
    /// Output format of the command.
    pub fn format(&self) -> Format {
        match self {
            Self::Check(c) => c.format,
            Self::Diff(c) => c.format,
            Self::Apply(c) => c.format,
            Self::Get(c) => c.format,
            Self::History(c) => c.format,
            Self::Rollback(c) => c.format,
            Self::Zone(c) => c.format(),
            Self::Upstream(c) => c.format(),
            Self::Order(c) => c.format,
            Self::Status(c) => c.format,
            Self::Trace(c) => c.format,
            Self::Schema(c) => c.format,
            Self::Generate(c) => c.format,
            Self::Demo(c) => c.format,
            Self::Load(c) => c.format,
            Self::Capacity(c) => c.format(),
        }
    }

    /// Runs the command.
    ///
    /// # Errors
    /// If the command did not succeed; the failure has the exit code.
    pub async fn run(self) -> Result<(), Failure> {
        match self {
            Self::Check(c) => c.run().await,
            Self::Diff(c) => c.run().await,
            Self::Apply(c) => c.run().await,
            Self::Get(c) => c.run().await,
            Self::History(c) => c.run().await,
            Self::Rollback(c) => c.run().await,
            Self::Zone(c) => c.run().await,
            Self::Upstream(c) => c.run().await,
            Self::Order(c) => c.run().await,
            Self::Status(c) => c.run().await,
            Self::Trace(c) => c.run().await,
            Self::Schema(c) => c.run(),
            Self::Generate(c) => c.run(),
            Self::Demo(c) => c.run().await,
            Self::Load(c) => c.run().await,
            Self::Capacity(c) => c.run().await,
        }
    }
}
