//! The operators' command.

use std::process::ExitCode;

use acacia_cli::{Command, Exit, command};
use bpaf::{Args, ParseFailure};

/// Width of help texts, in columns.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    match command::command().run_inner(Args::current_args()) {
        Ok(command) => run(command),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            match failure {
                ParseFailure::Stderr(_) => Exit::Usage.into(),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done.into(),
            }
        }
    }
}

fn run(command: Command) -> ExitCode {
    let format = command.format();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start threads: {error}");
            return Exit::Refused.into();
        }
    };
    match runtime.block_on(command.run()) {
        Ok(()) => Exit::Done.into(),
        Err(failure) => {
            failure.print(format);
            failure.exit.into()
        }
    }
}
