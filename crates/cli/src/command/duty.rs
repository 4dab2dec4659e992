//! `acacia zone` and `acacia upstream`.

use acacia_catalog::object::Duty;
use acacia_operator::call::Move;
use bpaf::Bpaf;

use super::apply::{Wait, random_id, retry, wait};
use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{Format, format};

/// Moves an availability zone.
#[derive(Bpaf, Clone, Debug)]
pub enum Zone {
    /// Take it out: it gets no new work, running work finishes
    #[bpaf(command)]
    Out(#[bpaf(external(options))] Options),
    /// Take it back
    #[bpaf(command)]
    Back(#[bpaf(external(options))] Options),
}

/// Moves an upstream.
#[derive(Bpaf, Clone, Debug)]
pub enum Upstream {
    /// Take it out: it gets no new work, running work finishes
    #[bpaf(command)]
    Drain(#[bpaf(external(options))] Options),
    /// Take it back
    #[bpaf(command)]
    Undrain(#[bpaf(external(options))] Options),
}

/// What is moved, and how.
#[derive(Bpaf, Clone, Debug)]
pub struct Options {
    #[bpaf(external)]
    format: Format,
    #[bpaf(external)]
    connection: Connection,
    #[bpaf(external)]
    wait: Wait,
    /// Name of the change, to ask again after an unknown outcome; random without it
    #[bpaf(long, argument("ID"))]
    id: Option<String>,
    /// Its name
    #[bpaf(positional("NAME"))]
    name: String,
}

impl Zone {
    pub(super) fn format(&self) -> Format {
        let (Self::Out(options) | Self::Back(options)) = self;
        options.format
    }

    pub(super) async fn run(self) -> Result<(), Failure> {
        let (options, state) = match self {
            Self::Out(options) => (options, Duty::Out),
            Self::Back(options) => (options, Duty::In),
        };
        let (client, request) = (options.connection.client()?, options.request(state));
        let accepted = retry(&request.id, || client.zone(&options.name, &request)).await?;
        options.wait.finish(options.format, &accepted)
    }
}

impl Upstream {
    pub(super) fn format(&self) -> Format {
        let (Self::Drain(options) | Self::Undrain(options)) = self;
        options.format
    }

    pub(super) async fn run(self) -> Result<(), Failure> {
        let (options, state) = match self {
            Self::Drain(options) => (options, Duty::Out),
            Self::Undrain(options) => (options, Duty::In),
        };
        let (client, request) = (options.connection.client()?, options.request(state));
        let accepted = retry(&request.id, || client.upstream(&options.name, &request)).await?;
        options.wait.finish(options.format, &accepted)
    }
}

impl Options {
    fn request(&self, state: Duty) -> Move {
        let id = self.id.clone().unwrap_or_else(random_id).into();
        Move { id, state, wait_ms: self.wait.wait_ms() }
    }
}
