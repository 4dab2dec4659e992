//! `acacia zone` and `acacia upstream`.

use acacia_catalog::object::AdminState;
use acacia_operator::call::SetState;
use bpaf::Bpaf;

use super::apply::{Patience, patience, persist, random_id};
use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{Format, format};

/// Moves an availability zone.
#[derive(Bpaf, Clone, Debug)]
pub enum Zone {
    /// Take it out: it gets no new work, running work finishes
    #[bpaf(command)]
    Out(#[bpaf(external(shift))] Shift),
    /// Take it back
    #[bpaf(command)]
    Back(#[bpaf(external(shift))] Shift),
}

/// Moves an upstream.
#[derive(Bpaf, Clone, Debug)]
pub enum Upstream {
    /// Take it out: it gets no new work, running work finishes
    #[bpaf(command)]
    Drain(#[bpaf(external(shift))] Shift),
    /// Take it back
    #[bpaf(command)]
    Undrain(#[bpaf(external(shift))] Shift),
}

/// What is moved, and how.
#[derive(Bpaf, Clone, Debug)]
pub struct Shift {
    #[bpaf(external)]
    format: Format,
    #[bpaf(external)]
    connection: Connection,
    #[bpaf(external)]
    patience: Patience,
    /// Name of the change, to ask again after an unknown outcome; random without it
    #[bpaf(long, argument("ID"))]
    id: Option<String>,
    /// Its name
    #[bpaf(positional("NAME"))]
    name: String,
}

impl Zone {
    pub(super) fn format(&self) -> Format {
        let (Self::Out(shift) | Self::Back(shift)) = self;
        shift.format
    }

    pub(super) async fn run(self) -> Result<(), Failure> {
        let (shift, state) = match self {
            Self::Out(shift) => (shift, AdminState::Out),
            Self::Back(shift) => (shift, AdminState::In),
        };
        let (client, request) = (shift.connection.client()?, shift.request(state));
        let accepted =
            persist(&request.id, || client.set_zone_state(&shift.name, &request)).await?;
        shift.patience.finish(shift.format, &accepted)
    }
}

impl Upstream {
    pub(super) fn format(&self) -> Format {
        let (Self::Drain(shift) | Self::Undrain(shift)) = self;
        shift.format
    }

    pub(super) async fn run(self) -> Result<(), Failure> {
        let (shift, state) = match self {
            Self::Drain(shift) => (shift, AdminState::Out),
            Self::Undrain(shift) => (shift, AdminState::In),
        };
        let (client, request) = (shift.connection.client()?, shift.request(state));
        let accepted =
            persist(&request.id, || client.set_upstream_state(&shift.name, &request)).await?;
        shift.patience.finish(shift.format, &accepted)
    }
}

impl Shift {
    fn request(&self, state: AdminState) -> SetState {
        let id = self.id.clone().unwrap_or_else(random_id).into();
        SetState { id, state, wait_ms: self.patience.wait_ms() }
    }
}
