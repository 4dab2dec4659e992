//! The daemon that a command connects to, and the operator's key.

use std::path::PathBuf;

use acacia_operator::Client;
use bpaf::Bpaf;

use crate::{Exit, Failure};

/// Environment variable that holds the operator's key.
const KEY_VARIABLE: &str = "ACACIA_KEY";

/// The daemon to connect to, and the operator's key.
#[derive(Bpaf, Clone, Debug)]
pub struct Connection {
    /// Operator address of any live daemon, such as 127.0.0.1:7000
    #[bpaf(long, env("ACACIA_SERVER"), argument("ADDRESS"))]
    server: String,
    /// File with the operator's key; by default the key is read from ACACIA_KEY
    #[bpaf(long, env("ACACIA_KEY_FILE"), argument("FILE"))]
    key_file: Option<PathBuf>,
}

impl Connection {
    /// Creates a client of the daemon.
    ///
    /// # Errors
    /// If the key is missing or the client can't be set up.
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
            Failure::new(Exit::Usage, "key", "no operator key given")
                .hint(format!("give `--key-file FILE` or set {KEY_VARIABLE}"))
        })
    }
}
