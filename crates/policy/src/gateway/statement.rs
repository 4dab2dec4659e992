//! Limits that upstreams state in their answers: on the rate of requests, and on the rate of
//! refusals.
//!
//! A limit is in force for as long as an upstream's answers state it, for all instances together.
//! [`State`] is what this instance knows of one incarnation of an upstream, from answers to its own
//! requests and from [`Report`]s of other instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::gossip::{ServerKey, server_key};
use super::view::Server;
use crate::Time;

/// Time after which a limit that no answer has confirmed ends.
pub const TTL: Duration = Duration::from_secs(30);
/// Time for which instances tell each other that a limit has ended.
const END_RETENTION: Duration = Duration::from_secs(10);

/// What an answer states about a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// Nothing: the request did not run, or the sender can't be verified.
    #[default]
    Unknown,
    /// That there is none.
    Unlimited,
    /// The requests or refusals per second, of all instances together.
    Limited(f64),
}

/// A limit of one incarnation of an upstream, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    /// Requests or refusals per second; none if there is no limit.
    rate: Option<f64>,
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

    /// Adds what another instance reports; true if the limit changes. The newer statement counts.
    pub fn receive(&mut self, now: Time, report: &Report) -> bool {
        let stated_at = now.saturating_sub(Duration::from_millis(report.age_ms.into()));
        let is_valid = report.rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
        let is_news = report.rate.is_some() || self.rate.is_some();
        if !is_valid || !is_news || stated_at <= self.stated_at {
            return false;
        }
        let is_changed = report.rate != self.rate;
        *self = Self { rate: report.rate, stated_at, asked_at: self.asked_at };
        is_changed
    }

    /// The limit in force at `now`, in requests or refusals per second.
    pub fn in_force(&self, now: Time) -> Option<f64> {
        self.rate.filter(|_| now < self.stated_at + TTL)
    }

    /// What other instances are told; none if they need not know.
    pub fn report(&self, now: Time, server: &Server) -> Option<Report> {
        let has_ended = self.rate.is_none() && self.stated_at > Time::ZERO;
        let is_told =
            self.in_force(now).is_some() || (has_ended && now < self.stated_at + END_RETENTION);
        let age_ms = now.saturating_sub(self.stated_at).as_millis().try_into().unwrap_or(u32::MAX);
        is_told.then(|| Report {
            server: server_key(&server.id),
            born: server.born,
            rate: self.rate,
            age_ms,
        })
    }
}

/// An upstream's limit, as instances tell each other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The upstream.
    pub server: ServerKey,
    /// Start of its incarnation, in milliseconds of Unix time.
    pub born: Option<u64>,
    /// Its limit in requests or refusals per second; none if it has ended.
    pub rate: Option<f64>,
    /// Time since the answer that states it, in milliseconds.
    pub age_ms: u32,
}
