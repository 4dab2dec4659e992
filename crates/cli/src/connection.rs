//! Which daemon a command talks to, and as whom.

use std::path::PathBuf;

use acacia_operator::Client;
use bpaf::Bpaf;

use crate::{Exit, Failure};

/// Variable that holds an operator's key.
const KEY_VARIABLE: &str = "ACACIA_KEY";

/// Which daemon, and as whom.
#[derive(Bpaf, Clone, Debug)]
pub struct Connection {
    /// Operator address of any live daemon, such as 127.0.0.1:7000
    #[bpaf(long, env("ACACIA_SERVER"), argument("ADDRESS"))]
    server: String,
    /// File that holds the operator's key; without it, ACACIA_KEY holds the key
    #[bpaf(long, env("ACACIA_KEY_FILE"), argument("FILE"))]
    key_file: Option<PathBuf>,
}

impl Connection {
    /// A client of that daemon.
    pub fn client(&self) -> Result<Client, Failure> {
        Client::new(&self.server, self.key()?)
            .map_err(|error| Failure::new(Exit::Unreachable, "unreachable", error.to_string()))
    }

    fn key(&self) -> Result<String, Failure> {
        if let Some(path) = &self.key_file {
            let text = std::fs::read_to_string(path).map_err(|error| {
                let message = format!("can't read {}: {error}", path.display());
                Failure::new(Exit::Usage, "key_file", message)
            })?;
            return Ok(text.trim().to_owned());
        }
        std::env::var(KEY_VARIABLE).map_err(|_| {
            Failure::new(Exit::Usage, "key", "no operator's key")
                .hint(format!("give `--key-file FILE` or set {KEY_VARIABLE}"))
        })
    }
}
