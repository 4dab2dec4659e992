//! Whether this instance has a path to the upstreams of each service.
//!
//! An upstream that can't be reached may have failed, or this instance may have lost the network path
//! to all of them. A new connection that fails, an exchange that breaks before its answer, or silence
//! of several upstreams at once raises a suspicion: a few upstreams are then probed by a connection.
//! If none accepts it, the path is lost, and probes go on until one does. Bytes on an older connection
//! prove nothing about new ones, as these may be refused while older connections live on.
//!
//! What resets connections may be slow, so that the connection of a probe stays open for a while. If the
//! path is lost again before a request was answered, more probes in a row must succeed.
//!
//! Connections may also be accepted by something in between, which resets them or lets nothing
//! through. So the path is also lost if several new connections break before an answer, or after a
//! longer silence; then only an answer proves it again, and a request is tried from time to time. As
//! upstreams may have crashed instead, what they did counts as usual then.

use std::time::Duration;

use rustc_hash::FxHashMap;
use strum::IntoStaticStr;

use super::configuration::ServiceName;
use super::gossip::ServerKey;
use crate::Time;

/// Interval between probes of a lost path.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between probes of a suspected path.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks of a path that is suspected or lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum silence of several upstreams that raises a suspicion.
const MIN_SILENCE: Duration = Duration::from_millis(400);
/// Interval between probes after a silence whose probe succeeded.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum silence after which a path is lost although connections are accepted; a sound upstream may
/// be silent for a second.
const LONG_SILENCE: Duration = Duration::from_millis(1_200);
/// The same in latency targets.
const LONG_SILENCE_TARGETS: u32 = 2;
/// Interval between requests that are tried on a path that only an answer proves.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which new connections to several upstreams break.
const BREAK_TIME: Duration = Duration::from_secs(1);
/// Time for which they do so without an answer of any upstream. One request may crash several.
const MIN_BREAK_TIME: Duration = Duration::from_millis(300);
/// Minimum wait for the answer to a request that was sent on a path that is lost.
const MIN_PATIENCE: Duration = Duration::from_millis(500);
/// The same in latency targets.
const PATIENCE_TARGETS: u32 = 2;
/// Minimum wait for the answer to such a request, as a sound upstream may be silent for a second or so.
const TRIAL_PATIENCE: Duration = Duration::from_secs(2);
/// Limit on the relapses that are counted; each doubles the number of probes that prove the path.
const MAX_RELAPSES: u32 = 2;
/// Number of different upstreams that are silent, or whose new connections break, before the path is
/// taken to be the cause.
const SEVERAL_UPSTREAMS: usize = 2;

/// The paths to the upstreams of all services that were used.
#[derive(Debug, Default)]
pub struct Reach {
    paths: FxHashMap<ServiceName, Path>,
    changes: Vec<Change>,
    /// Whether suspicions are probed.
    is_probed: bool,
}

/// A path that was lost or regained.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The service.
    pub service: ServiceName,
    /// Why it was lost; none if it was regained.
    pub lost: Option<Cause>,
    /// Upstreams with failed connections since the last proof of the path, without probes.
    pub failed: usize,
    /// Requests without a byte of an answer.
    pub pending: usize,
    /// Time since any upstream was heard.
    pub silence: Option<Duration>,
    /// Time since the suspicion, or since the loss if it was regained.
    pub after: Duration,
}

/// Why a path is lost.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No upstream accepts a connection.
    Connect,
    /// Connections are accepted, but several broke before an answer.
    Reset,
    /// Connections are accepted, but several upstreams are silent.
    Silence,
}

#[derive(Debug, Default)]
struct Path {
    state: State,
    /// When an upstream was last heard.
    heard: Option<Time>,
    /// Upstreams to which new connections failed since the last proof of the path.
    failed: Vec<ServerKey>,
    /// The same for connections that had been accepted, and when they broke.
    broken: Vec<(ServerKey, Time)>,
    /// When the first of these connections broke.
    breaking_since: Option<Time>,
    /// Requests without a byte of an answer.
    pending: Vec<Pending>,
    /// When the last probe started.
    probed: Option<Time>,
    is_probing: bool,
    /// When a probe last proved the path.
    proven: Option<Time>,
    /// When probes last ended a loss, if no request has been answered since.
    regained: Option<Time>,
    /// Losses in a row that probes ended and that began again before an answer.
    relapses: u32,
    /// Probes of the lost path in a row that succeeded.
    open_probes: u32,
    /// Until when no upstream accepted connections.
    unreachable_until: Option<Time>,
    /// When a request was last sent on the path though it was lost.
    tried: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    Open,
    Suspect {
        since: Time,
    },
    Lost {
        since: Time,
        cause: Cause,
    },
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    server: ServerKey,
    sent: Time,
    target: Duration,
}

impl Reach {
    /// Records that a request with this latency target was sent to an upstream.
    pub fn sent(&mut self, now: Time, service: &ServiceName, server: ServerKey, target: Duration) {
        let path = match self.paths.get_mut(service) {
            Some(path) => path,
            None => self.paths.entry(service.clone()).or_default(),
        };
        path.pending.push(Pending { server, sent: now, target });
    }

    /// Records that a byte of an answer to a request of `sent` arrived; on a connection that was
    /// opened for it if `is_new`.
    pub fn heard(
        &mut self,
        now: Time,
        service: &ServiceName,
        server: ServerKey,
        sent: Time,
        is_new: bool,
    ) {
        let Some(path) = self.paths.get_mut(service) else { return };
        path.settle(server, sent);
        path.heard = Some(now);
        let is_proof = match path.state {
            State::Lost { cause: Cause::Silence, .. } => true,
            // The connection may have been made before.
            State::Suspect { since } | State::Lost { since, .. } => is_new && sent >= since,
            State::Open => false,
        };
        path.broken.clear();
        path.breaking_since = None;
        if is_new {
            path.failed.clear();
        }
        if is_proof || (is_new && path.regained.is_some_and(|at| sent >= at)) {
            path.regained = None;
            path.relapses = 0;
        }
        if is_proof {
            self.regain(now, service);
        }
    }

    /// Records that a request of `sent` ended.
    pub fn ended(&mut self, service: &ServiceName, server: ServerKey, sent: Time) {
        if let Some(path) = self.paths.get_mut(service) {
            path.settle(server, sent);
        }
    }

    /// Records that no connection to an upstream could be made, or that a new one broke before an
    /// answer if it `was_accepted`.
    pub fn failed(
        &mut self,
        now: Time,
        service: &ServiceName,
        server: ServerKey,
        was_accepted: bool,
    ) {
        let Some(path) = self.paths.get_mut(service) else { return };
        if !path.failed.contains(&server) {
            path.failed.push(server);
        }
        path.suspect(now);
        if was_accepted {
            path.broken.retain(|(other, at)| *other != server && now < *at + BREAK_TIME);
            path.broken.push((server, now));
            if path.broken.len() == 1 {
                path.breaking_since = Some(now);
            }
            let is_long = path.breaking_since.is_some_and(|since| now >= since + MIN_BREAK_TIME);
            let is_lost = matches!(path.state, State::Lost { .. });
            let are_several = path.broken.len() >= SEVERAL_UPSTREAMS;
            if self.is_probed && !is_lost && are_several && is_long {
                self.lose(now, service, Cause::Reset);
            }
        }
    }

    /// Records that an exchange broke before its answer.
    pub fn broke(&mut self, now: Time, service: &ServiceName) {
        if let Some(path) = self.paths.get_mut(service) {
            path.suspect(now);
        }
    }

    /// The services to probe now. `size` is the number of upstreams of a service; one without
    /// upstreams has no path to lose.
    pub fn due(&mut self, now: Time, size: impl Fn(&ServiceName) -> usize) -> Vec<ServiceName> {
        self.is_probed = true;
        let mut silent = Vec::new();
        let mut due = Vec::new();
        for (service, path) in &mut self.paths {
            let size = size(service);
            if size == 0 {
                path.state = State::Open;
                continue;
            }
            let needed = SEVERAL_UPSTREAMS.min(size);
            if path.is_silent(now, needed, silence_limit) {
                let is_proven = path.proven.is_some_and(|at| now < at + SILENCE_PROBE_INTERVAL);
                if path.state == State::Open && !is_proven {
                    path.suspect(now);
                }
                let is_lost = matches!(path.state, State::Lost { .. });
                if !is_lost && path.is_silent(now, needed, long_silence_limit) {
                    silent.push(service.clone());
                }
            }
            let interval = match path.state {
                State::Open => continue,
                State::Suspect { .. } => SUSPICION_INTERVAL,
                State::Lost { .. } => PROBE_INTERVAL,
            };
            let is_due = path.probed.is_none_or(|at| now >= at + interval);
            if is_due && !path.is_probing {
                path.is_probing = true;
                path.probed = Some(now);
                due.push(service.clone());
            }
        }
        for service in silent {
            self.lose(now, &service, Cause::Silence);
        }
        due
    }

    /// When [`Self::due`] may have something to do next if no failure is recorded before.
    pub fn next_check(&self, now: Time, size: impl Fn(&ServiceName) -> usize) -> Time {
        let earliest = now + CHECK_INTERVAL;
        let next = self.paths.iter().filter_map(|(service, path)| match path.state {
            State::Open => path.silent_at(SEVERAL_UPSTREAMS.min(size(service)), silence_limit),
            State::Suspect { .. } | State::Lost { .. } => Some(earliest),
        });
        // A request that is sent later can't be silent for long enough before.
        next.min().unwrap_or(now + MIN_SILENCE).clamp(earliest, now + MIN_SILENCE)
    }

    /// Makes the next probes of lost paths to some services due now.
    pub fn hasten(&mut self, is_chosen: impl Fn(&ServiceName) -> bool) {
        for (service, path) in &mut self.paths {
            if matches!(path.state, State::Lost { .. }) && is_chosen(service) {
                path.probed = None;
            }
        }
    }

    /// Records the result of a probe that [`Self::due`] asked for.
    pub fn probed(&mut self, now: Time, service: &ServiceName, is_open: bool) {
        let Some(path) = self.paths.get_mut(service) else { return };
        path.is_probing = false;
        let started = path.probed.unwrap_or_default();
        match path.state {
            State::Suspect { since } if started < since => {}
            State::Suspect { .. } if is_open => {
                path.state = State::Open;
                path.failed.clear();
                path.proven = Some(now);
            }
            State::Suspect { .. } => self.lose(now, service, Cause::Connect),
            State::Lost { cause: Cause::Connect, .. } if is_open => {
                path.open_probes += 1;
                if path.open_probes >= 1 << path.relapses {
                    path.regained = Some(now);
                    self.regain(now, service);
                }
            }
            // Nothing shows any more that connections are accepted.
            State::Lost { since, .. } if !is_open => {
                path.open_probes = 0;
                path.state = State::Lost { since, cause: Cause::Connect };
            }
            State::Lost { .. } | State::Open => {}
        }
    }

    /// Whether the path to a service is lost.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        self.paths.get(service).is_some_and(|path| matches!(path.state, State::Lost { .. }))
    }

    /// Whether the path to a service is neither suspected nor lost.
    pub fn is_open(&self, service: &ServiceName) -> bool {
        self.paths.get(service).is_none_or(|path| path.state == State::Open)
    }

    /// Whether no upstream of a service accepts connections, so that failures tell nothing about single
    /// upstreams.
    pub fn is_unreachable(&self, service: &ServiceName) -> bool {
        let path = self.paths.get(service);
        path.is_some_and(|path| matches!(path.state, State::Lost { cause: Cause::Connect, .. }))
    }

    /// Whether an exchange may have broken at a time because the path to a service was lost, and not
    /// because its upstream crashed.
    pub fn explains_break(&self, service: &ServiceName, broke: Time) -> bool {
        let until = self.paths.get(service).and_then(|path| path.unreachable_until);
        self.is_suspect(service)
            || self.is_unreachable(service)
            || until.is_some_and(|until| broke <= until)
    }

    /// Whether a probe will soon tell whether the path to a service is lost.
    pub fn is_suspect(&self, service: &ServiceName) -> bool {
        let path = self.paths.get(service);
        self.is_probed && path.is_some_and(|path| matches!(path.state, State::Suspect { .. }))
    }

    /// Whether suspicions are probed.
    pub fn is_probed(&self) -> bool {
        self.is_probed
    }

    /// Services with a lost path.
    pub fn lost(&self) -> impl Iterator<Item = &ServiceName> {
        let lost = self.paths.iter().filter(|(_, path)| matches!(path.state, State::Lost { .. }));
        lost.map(|(service, _)| service)
    }

    /// Whether a request may be sent on a lost path, as only an answer would show that it is back.
    pub fn take_trial(&mut self, now: Time, service: &ServiceName) -> bool {
        let Some(path) = self.paths.get_mut(service) else { return false };
        let State::Lost { since, cause: Cause::Reset | Cause::Silence } = path.state else {
            return false;
        };
        let is_due = now >= path.tried.unwrap_or(since).max(since) + TRIAL_INTERVAL;
        if is_due {
            path.tried = Some(now);
        }
        is_due
    }

    /// When a request of `sent` without a byte of an answer is given up; none while its path isn't
    /// known to be lost. If connections are accepted, only a trial is given up, as others may run.
    pub fn give_up_at(
        &self,
        service: &ServiceName,
        sent: Time,
        target: Duration,
        is_trial: bool,
    ) -> Option<Time> {
        let path = self.paths.get(service)?;
        let State::Lost { cause, .. } = path.state else { return None };
        let patience = MIN_PATIENCE.max(target * PATIENCE_TARGETS);
        match cause {
            Cause::Reset | Cause::Silence => {
                is_trial.then_some(sent + patience.max(TRIAL_PATIENCE))
            }
            Cause::Connect => Some(path.heard.map_or(sent, |heard| heard.max(sent)) + patience),
        }
    }

    /// Paths that were lost or regained since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn lose(&mut self, now: Time, service: &ServiceName, cause: Cause) {
        let Some(path) = self.paths.get_mut(service) else { return };
        let since = match path.state {
            State::Suspect { since } => since,
            State::Open | State::Lost { .. } => now,
        };
        path.state = State::Lost { since: now, cause };
        path.open_probes = 0;
        if path.regained.take().is_some() {
            path.relapses = (path.relapses + 1).min(MAX_RELAPSES);
        }
        self.changes.push(path.change(now, service, Some(cause), since));
        // The other services may be cut off by the same fault.
        for path in self.paths.values_mut() {
            path.suspect(now);
        }
    }

    fn regain(&mut self, now: Time, service: &ServiceName) {
        let Some(path) = self.paths.get_mut(service) else { return };
        let before = std::mem::take(&mut path.state);
        if let State::Lost { since, cause } = before {
            self.changes.push(path.change(now, service, None, since));
            if cause == Cause::Connect {
                path.unreachable_until = Some(now);
            }
        }
        path.failed.clear();
        path.broken.clear();
        path.proven = Some(now);
    }
}

impl Path {
    fn suspect(&mut self, now: Time) {
        if self.state == State::Open {
            self.state = State::Suspect { since: now };
        }
    }

    /// Removes a request from those without a byte of an answer.
    fn settle(&mut self, server: ServerKey, sent: Time) {
        let is_it = |pending: &Pending| pending.server == server && pending.sent == sent;
        if let Some(at) = self.pending.iter().position(is_it) {
            self.pending.swap_remove(at);
        }
    }

    /// Whether `needed` upstreams have been silent for a time that depends on the latency target.
    fn is_silent(&self, now: Time, needed: usize, limit: impl Fn(Duration) -> Duration) -> bool {
        self.silent_at(needed, limit).is_some_and(|at| now >= at)
    }

    /// When `needed` upstreams will have been silent for that time if none of them is heard.
    fn silent_at(&self, needed: usize, limit: impl Fn(Duration) -> Duration) -> Option<Time> {
        let mut silent: Vec<(ServerKey, Time)> = Vec::new();
        for Pending { server, sent, target } in &self.pending {
            let since = self.heard.map_or(*sent, |heard| heard.max(*sent));
            let at = since + limit(*target);
            match silent.iter_mut().find(|(other, _)| other == server) {
                Some((_, earliest)) => *earliest = at.min(*earliest),
                None => silent.push((*server, at)),
            }
        }
        silent.sort_unstable_by_key(|(_, at)| *at);
        silent.get(needed.checked_sub(1)?).map(|(_, at)| *at)
    }

    fn change(&self, now: Time, service: &ServiceName, lost: Option<Cause>, since: Time) -> Change {
        Change {
            service: service.clone(),
            lost,
            failed: self.failed.len(),
            pending: self.pending.len(),
            silence: self.heard.map(|heard| now.saturating_sub(heard)),
            after: now.saturating_sub(since),
        }
    }
}

/// Silence that raises a suspicion.
fn silence_limit(target: Duration) -> Duration {
    target.max(MIN_SILENCE)
}

/// Silence after which a path is lost although connections are accepted.
fn long_silence_limit(target: Duration) -> Duration {
    LONG_SILENCE.max(target * LONG_SILENCE_TARGETS)
}
