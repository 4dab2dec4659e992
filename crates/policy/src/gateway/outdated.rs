//! Until when prompts may begin on weights that newer ones replace.

use std::time::Duration;

use super::configuration::ModelName;
use super::machine::{Gateway, Terms};
use super::plan::Attempt;
use super::view::WeightVersion;
use crate::Time;

/// Time before the limit on older weights from which an engine gets no more requests, in addition
/// to the expected wait in its queue: a request may begin up to a second later than expected, and
/// an announcement may arrive late by the pause between two watches.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_400);

/// Time before the limit on older weights from which an attempt that has not begun is given up: an
/// announcement may arrive late by the pause between two watches, and the reset takes a moment.
const START_MARGIN: Duration = Duration::from_millis(700);

/// When engines with older weights get no more requests.
pub fn weights_end(announced_at: Time, terms: &Terms) -> Time {
    announced_at + terms.weights_limit.saturating_sub(WEIGHTS_MARGIN)
}

/// When prompts that were sent for weights that newer ones replace are given up if they have not
/// begun.
pub fn start_end(announced_at: Time, terms: &Terms) -> Time {
    announced_at + terms.weights_limit.saturating_sub(START_MARGIN)
}

impl Gateway {
    /// For how long the weights of an attempt had been replaced by newer ones at `now`.
    pub fn outdated_for(&self, now: Time, attempt: &Attempt) -> Option<Duration> {
        let run = attempt.engine.as_ref()?;
        Some(now.saturating_sub(self.outdated_since(&run.model, run.weights)?))
    }

    /// When prompts that were sent for these weights are given up if they have not begun; none as long
    /// as these are the newest ones. Such a request may still be on the way, to an engine that this
    /// instance doesn't reach or that is silent.
    pub fn start_end(&self, model: &ModelName, version: WeightVersion) -> Option<Time> {
        Some(start_end(self.outdated_since(model, version)?, self.terms()))
    }

    /// Records the weights that an engine stated when it rejected a request for others. An instance that
    /// the metadata store does not answer learns of newer ones only so.
    pub fn weights_stated(&mut self, attempt: &Attempt, version: WeightVersion) {
        let Some(run) = attempt.engine.as_ref().filter(|run| run.weights < version) else { return };
        if let Some(member) = self.roster.get_mut(&attempt.server.id) {
            member.learn_weights(&run.model, version);
        }
    }

    /// Since when newer weights have been announced.
    fn outdated_since(&self, model: &ModelName, version: WeightVersion) -> Option<Time> {
        self.view()?.weights.get(model)?.outdated_since(version)
    }
}
