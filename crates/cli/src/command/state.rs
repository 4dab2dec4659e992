//! `acacia zone` and `acacia upstream`: take them out of service and back.

use acacia_catalog::object::AdminState;
use acacia_operator::call::SetState;
use bpaf::Bpaf;

use super::apply::{Wait, random_id, retry, wait};
use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{Format, format};

/// Takes an availability zone out of service or back.
#[derive(Bpaf, Clone, Debug)]
pub enum Zone {
    /// Take it out of service: it gets no new work, running work finishes
    #[bpaf(command)]
    Out(#[bpaf(external(options))] Options),
    /// Take it back into service
    #[bpaf(command)]
    Back(#[bpaf(external(options))] Options),
}

/// Takes an upstream out of service or back.
#[derive(Bpaf, Clone, Debug)]
pub enum Upstream {
    /// Take it out of service: it gets no new work, running work finishes
    #[bpaf(command)]
    Drain(#[bpaf(external(options))] Options),
    /// Take it back into service
    #[bpaf(command)]
    Undrain(#[bpaf(external(options))] Options),
}

/// What to take out of service or back, and how.
#[derive(Bpaf, Clone, Debug)]
pub struct Options {
    #[bpaf(external)]
    format: Format,
    #[bpaf(external)]
    connection: Connection,
    #[bpaf(external)]
    wait: Wait,
    /// Change id, for a retry after an unknown outcome; random by default
    #[bpaf(long, argument("ID"))]
    id: Option<String>,
    /// Name of the zone or upstream
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
            Self::Out(options) => (options, AdminState::Out),
            Self::Back(options) => (options, AdminState::In),
        };
        let (client, request) = (options.connection.client()?, options.request(state));
        let accepted =
            retry(&request.id, || client.set_zone_state(&options.name, &request)).await?;
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
            Self::Drain(options) => (options, AdminState::Out),
            Self::Undrain(options) => (options, AdminState::In),
        };
        let (client, request) = (options.connection.client()?, options.request(state));
        let accepted =
            retry(&request.id, || client.set_upstream_state(&options.name, &request)).await?;
        options.wait.finish(options.format, &accepted)
    }
}

impl Options {
    fn request(&self, state: AdminState) -> SetState {
        let id = self.id.clone().unwrap_or_else(random_id).into();
        SetState { id, state, wait_ms: self.wait.wait_ms() }
    }
}
