//! The named objects of a configuration.
//!
//! A [`Document`] is the list of [`Object`]s that an operator writes. [`Set::check`] resolves all
//! references and returns either a [`Set`], which the rest of the system reads, or every
//! [`Problem`] found. A set is then split into content-addressed [`chunk`]s for publication.

mod check;
pub mod chunk;
pub mod diff;
pub mod excerpt;
pub mod file;
pub mod generate;
pub mod id;
pub mod object;
pub mod problem;
pub mod root;
pub mod secret;
pub mod set;
pub mod tokenizer;

pub use excerpt::Excerpt;
pub use file::File;
pub use object::{Document, Object};
pub use problem::Problem;
pub use root::Root;
pub use set::Set;
