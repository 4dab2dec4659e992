//! `acacia order`.

use acacia_operator::call;
use acacia_policy::control::OrderDuty;
use bpaf::Bpaf;
use strum::EnumString;

use super::apply::random_id;
use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{self, Format, format};

/// Sends an order to an upstream.
#[derive(Bpaf, Clone, Debug)]
pub struct Order {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external)]
    connection: Connection,
    /// Order id, for a retry; random by default
    #[bpaf(long, argument("ID"))]
    id: Option<String>,
    /// The upstream
    #[bpaf(positional("UPSTREAM"))]
    upstream: String,
    /// The order: load-version, load-adapter or set-role
    #[bpaf(positional("ORDER"))]
    duty: Duty,
    /// The version, adapter or role
    #[bpaf(positional("NAME"))]
    name: String,
}

/// Kinds of orders.
#[derive(Clone, Copy, Debug, EnumString)]
#[strum(serialize_all = "kebab-case")]
enum Duty {
    LoadVersion,
    LoadAdapter,
    SetRole,
}

impl Order {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let name = self.name.as_str().into();
        let duty = match self.duty {
            Duty::LoadVersion => OrderDuty::LoadVersion(name),
            Duty::LoadAdapter => OrderDuty::LoadAdapter(name),
            Duty::SetRole => OrderDuty::SetRole(name),
        };
        let order = call::Order { id: self.id.unwrap_or_else(random_id), duty };
        let ordered = self.connection.client()?.order(&self.upstream, &order).await?;
        output::print(self.format, &ordered);
        Ok(())
    }
}
