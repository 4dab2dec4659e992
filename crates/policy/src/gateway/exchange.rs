//! Digests that an instance sends to the others, and what it learns from theirs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::confirmation::Confirmation;
use super::gossip::{Digest, Incarnation, Load, Note, Prefill, ServerKey, is_large, stable_hash};
use super::machine::Gateway;
use super::mesh::Detail;
use super::notice::Departure;
use super::statement::Report;
use crate::Time;

/// One in this number of instances answers a report of a single crash.
const RESPONDING_SHARE: u64 = 4;
/// Number of instances, on average, that repeat each suspect and each rate limit in the interval of
/// full digests.
const REPEATING_INSTANCES: u32 = 8;

impl Gateway {
    /// Records another instance's digest.
    pub fn receive(&mut self, now: Time, digest: Digest) {
        // Hubs forward a digest to its sender too.
        if digest.incarnation == self.incarnation {
            return;
        }
        for note in &digest.notes {
            match note {
                Note::Departed(departure) => self.receive_departure(departure),
                Note::Confirmed(confirmation) => {
                    if let Some(view) = &self.view {
                        self.confirmed.receive(view, confirmation);
                    }
                }
                Note::Suspected(suspicion) => {
                    let roster = &self.roster;
                    let point = stable_hash(&(self.incarnation, suspicion.key));
                    let responds = point.is_multiple_of(RESPONDING_SHARE);
                    self.quarantine.receive(now, suspicion, responds, |key| {
                        Some(roster[roster.by_server_key(key)?].server.id.clone())
                    });
                }
                Note::Tried(key) => {
                    let is_first = self.incarnation < digest.incarnation;
                    self.quarantine.receive_trial(now, *key, is_first);
                }
                Note::Cleared(clearance) => self.quarantine.receive_clearance(now, *clearance),
                Note::Began(beginnings) => self.streams.receive(now, beginnings),
                Note::CutOff(outage) => self.helpers.receive(now, outage),
                Note::Limited(report) => {
                    let change = self.roster.receive_limit(now, report);
                    self.limit_changes.extend(change);
                }
                Note::Brittle(report) => {
                    let id =
                        self.roster.receive_report(now, report, |standing| &mut standing.tolerance);
                    if let Some(id) = id {
                        self.tolerance_changed(now, &id);
                    }
                }
                Note::Refused(refusal) => self.receive_refusal(now, refusal),
                Note::Canary(evidence) => self.canaries.receive(now, evidence),
            }
        }
        let sender = digest.incarnation;
        for prefill in self.digests.receive(now, digest) {
            self.receive_prefill(now, sender, &prefill);
        }
    }

    /// Records that another instance was told that an upstream is leaving.
    fn receive_departure(&mut self, departure: &Departure) {
        if let Some(key) = self.roster.by_server_key(departure.server)
            && self.roster[key].server.born == departure.born
        {
            self.roster[key].standing.is_leaving = true;
        }
    }

    /// Records a prompt that another instance sent to an engine, or its order to save a part.
    fn receive_prefill(&mut self, now: Time, sender: Incarnation, prefill: &Prefill) {
        match self.store_by_key(prefill.server) {
            Some(store) => self.saves.receive(now, sender, store, prefill),
            None => self.record_prefill(now, prefill),
        }
    }

    /// Whether a prefill of a digest is an order to save parts to a known KV cache store.
    pub fn is_order(&self, prefill: &Prefill) -> bool {
        self.store_by_key(prefill.server).is_some()
    }

    /// The KV cache store with a key, if it is in the view.
    fn store_by_key(&self, key: ServerKey) -> Option<SocketAddr> {
        self.stores.get(&key).copied()
    }

    /// The changes since the last digest; none if nothing has changed.
    pub fn digest(&mut self, now: Time, detail: Detail) -> Option<Digest> {
        let loads = self.loads();
        let servers = loads.keys().chain(self.sent_loads.keys());
        let changed = servers.filter_map(|server| {
            let load = loads.get(server).copied().unwrap_or_default();
            let sent = self.sent_loads.get(server).copied().unwrap_or_default();
            let is_changed = match detail {
                Detail::All => load != sent,
                Detail::Large => load.is_far_from(sent),
            };
            is_changed.then_some((*server, load))
        });
        let changed: BTreeMap<_, _> = changed.collect();
        let mut prefills = self.take_prefills(detail);
        prefills.extend(self.saves.take_untold(now));
        let departures = std::mem::take(&mut self.departures);
        let mut notes: Vec<Note> = departures.into_iter().map(Note::Departed).collect();
        notes.extend(std::mem::take(&mut self.limit_reports).into_iter().map(Note::Limited));
        notes.extend(self.take_brittle_notes());
        notes.extend(self.quarantine.take_notes());
        notes.extend(self.streams.take_batch(detail).into_iter().map(Note::Began));
        notes.extend(self.order_notes(now, detail, false));
        notes.extend(self.take_outage(false).map(Note::CutOff));
        if changed.is_empty() && prefills.is_empty() && notes.is_empty() {
            return None;
        }
        self.sent_loads.extend(changed.clone());
        self.sent_loads.retain(|_, load| *load != Load::default());
        Some(self.next_digest(false, changed, prefills, notes))
    }

    /// The full state, which makes up for lost digests; none if there is no load now and there was
    /// none in the last digest.
    pub fn full_digest(&mut self, now: Time, detail: Detail) -> Option<Digest> {
        let loads = self.loads();
        let mut prefills = self.take_prefills(detail);
        prefills.extend(self.saves.take_all(now));
        self.departures.clear();
        let reports = std::mem::take(&mut self.limit_reports);
        let leaving = self.roster.values().filter(|member| member.standing.is_leaving);
        let departed = leaving.map(|member| Note::Departed(Departure::of(&member.server)));
        let mut notes: Vec<Note> = departed.collect();
        notes.extend(reports.into_iter().map(Note::Limited));
        notes.extend(self.take_brittle_notes());
        notes.extend(self.quarantine.take_notes());
        notes.extend(self.streams.take_untold().into_iter().map(Note::Began));
        notes.extend(self.order_notes(now, detail, true));
        notes.extend(self.take_outage(true).map(Note::CutOff));
        let share = u64::from(self.view.as_ref().map_or(1, |view| view.instances));
        let share = share.div_ceil(REPEATING_INSTANCES.into()).max(1);
        let (incarnation, sequence) = (self.incarnation, self.sequence);
        let suspicions = self.quarantine.suspicions(now).into_iter();
        notes.extend(suspicions.filter(|note| match note {
            Note::Suspected(suspicion) => {
                stable_hash(&(incarnation, sequence, suspicion.key)).is_multiple_of(share)
            }
            _ => true,
        }));
        let is_repeated = |report: &Report| {
            stable_hash(&(incarnation, sequence, report.server)).is_multiple_of(share)
        };
        let limits = self.roster.values().filter_map(|m| m.standing.limit.report(now, &m.server));
        notes.extend(limits.filter(is_repeated).map(Note::Limited));
        let tolerances = self.roster.values();
        let tolerances = tolerances.filter_map(|m| m.standing.tolerance.report(now, &m.server));
        notes.extend(tolerances.filter(is_repeated).map(Note::Brittle));
        let has_load = !loads.is_empty() || !self.sent_loads.is_empty();
        if prefills.is_empty() && notes.is_empty() && !has_load {
            return None;
        }
        let confirmation = self.view.as_deref().and_then(Confirmation::of);
        notes.extend(confirmation.map(Note::Confirmed));
        self.sent_loads.clone_from(&loads);
        Some(self.next_digest(true, loads, prefills, notes))
    }

    fn take_prefills(&mut self, detail: Detail) -> Vec<Prefill> {
        let mut prefills = std::mem::take(&mut self.prefills);
        prefills.retain(|prefill| detail.includes(&prefill.parts));
        prefills
    }

    fn next_digest(
        &mut self,
        is_full: bool,
        loads: BTreeMap<ServerKey, Load>,
        prefills: Vec<Prefill>,
        notes: Vec<Note>,
    ) -> Digest {
        self.sequence += 1;
        let (incarnation, sequence) = (self.incarnation, self.sequence);
        Digest { incarnation, sequence, is_full, loads, prefills, notes }
    }

    /// Whether a long prompt was sent of which the others were not told yet.
    pub fn has_untold_prompt(&self) -> bool {
        self.prefills.iter().any(|prefill| is_large(&prefill.parts))
    }

    /// This instance's load by upstream.
    fn loads(&self) -> BTreeMap<ServerKey, Load> {
        let busy = self.roster.values().filter(|member| member.own_load != Load::default());
        busy.map(|member| (member.key, member.own_load)).collect()
    }
}
