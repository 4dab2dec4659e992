//! Rate limits that upstreams state in their answers.
//!
//! An upstream in need states how many requests a second it takes from all instances together, for
//! as long as its answers say so. [`State`] is what this instance knows of one incarnation of an
//! upstream.

use std::time::Duration;

use super::view::ServerId;
use crate::Time;

/// What an answer states about its sender's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// Nothing: the request did not run, or the sender can't be verified.
    #[default]
    Unknown,
    /// That there is none.
    Unlimited,
    /// The requests per second that it takes from all instances together.
    Limited(f64),
}

/// The rate limit of one incarnation of an upstream, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    /// Requests per second; none if there is no limit.
    pub rate: Option<f64>,
    /// When the statement was received.
    stated_at: Time,
    /// When the request was sent that it answers.
    asked_at: Time,
}

impl State {
    /// Adds what the answer to a request of `sent` states; true if the limit changes.
    ///
    /// Answers on several connections may overtake each other. A lower limit is always accepted, a
    /// higher one only from the answer to a later request, and the end of the limit only from the
    /// answer to a request that was sent after the limit had last been stated.
    pub fn hear(&mut self, now: Time, sent: Time, statement: Statement) -> bool {
        let rate = match (statement, self.rate) {
            (Statement::Unknown, _) | (Statement::Unlimited, None) => return false,
            (Statement::Unlimited, Some(_)) if sent < self.stated_at => return false,
            (Statement::Limited(rate), Some(known)) if rate > known && sent <= self.asked_at => {
                return false;
            }
            (Statement::Unlimited, Some(_)) => None,
            (Statement::Limited(rate), _) => Some(rate),
        };
        let is_changed = rate != self.rate;
        *self = Self { rate, stated_at: now, asked_at: self.asked_at.max(sent) };
        is_changed
    }
}

/// A change of an upstream's rate limit, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The upstream.
    pub server: ServerId,
    /// Its limit from now on, in requests per second; none if it has ended.
    pub rate: Option<f64>,
    /// Requests that this instance has sent to it within [`SPAN`].
    pub recent_sends: usize,
}

/// Window in which requests to a limited upstream are counted.
pub const SPAN: Duration = Duration::from_secs(4);
