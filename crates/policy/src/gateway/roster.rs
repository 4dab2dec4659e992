//! The known upstreams, indexed so that a choice among thousands examines only some tens.
//!
//! Members are indexed by id, by service, by the parts that they hold, and by a consistent-hash
//! ring on which all instances rank the upstreams of a service identically for a part.

use std::ops::{Index, IndexMut};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};

use super::configuration::ServiceName;
use super::gossip::{PartKey, ServerKey, stable_hash};
use super::limit;
use super::member::Member;
use super::notice::{News, Notice, Notices, Standing};
use super::statement::{Report, State, Statement, TTL};
use super::view::{Server, ServerId, View};
use crate::Time;

/// Points of an upstream on its service's ring; with this many, the numbers of parts per upstream
/// differ by up to a third.
const RING_POINTS: u64 = 8;
/// Number of holders of a prompt's parts at which the search ends: among this many, one is usually
/// in the same zone and not busy.
const HOLDERS_WANTED: usize = 8;
/// Maximum number of holders examined for one part; frequently used parts have hundreds.
const HOLDERS_EXAMINED: usize = 32;
/// Minimum size of the index of holders at which stale entries are removed.
const HOLDERS_CLEANUP_SIZE: usize = 1_024;

new_key_type! {
    /// Key of a member, valid while its upstream is known.
    pub struct MemberKey;
}

/// All members.
#[derive(Debug, Default)]
pub struct Roster {
    members: SlotMap<MemberKey, Member>,
    ids: FxHashMap<ServerId, MemberKey>,
    keys: FxHashMap<ServerKey, MemberKey>,
    groups: FxHashMap<ServiceName, Group>,
    /// Members that have computed a part; some may have evicted it since.
    holders: FxHashMap<PartKey, Vec<MemberKey>>,
    /// Size of `holders` at which stale entries are removed next.
    cleanup_size: usize,
    /// What upstreams stated that are not listed now.
    notices: Notices,
    /// Until when an upstream may be brittle.
    brittle_until: Time,
}

/// The upstreams of one service.
#[derive(Debug, Default)]
struct Group {
    keys: Vec<MemberKey>,
    /// Sorted by point.
    ring: Vec<(u64, MemberKey)>,
}

impl Roster {
    /// Updates the members from a newer view.
    pub fn observe(&mut self, now: Time, view: &View) {
        let mut is_changed = false;
        self.members.retain(|_, member| {
            let id = &member.server.id;
            let is_kept = view.servers.contains_key(id) || view.expired.contains_key(id);
            is_changed |= !is_kept;
            if !is_kept {
                self.notices.keep(now, member.server.clone(), member.standing);
            }
            is_kept
        });
        if is_changed {
            self.ids.retain(|_, key| self.members.contains_key(*key));
        }
        for (id, server) in &view.servers {
            if let Some(member) = self.get_mut(id) {
                is_changed |= member.server.service != server.service;
                member.update(now, server.clone());
            } else {
                let standing = self.notices.take(server);
                let mut member = Member::new(now, server.clone());
                member.standing = standing;
                if standing.tolerance.in_force(now).is_some() {
                    self.brittle_until = now + TTL;
                }
                let key = self.members.insert(member);
                self.ids.insert(id.clone(), key);
                is_changed = true;
            }
        }
        for (id, model, version) in &view.loaded {
            if let Some(member) = self.get_mut(id) {
                member.learn_weights(model, *version);
            }
        }
        self.members.values_mut().for_each(|member| member.observe(view));
        if is_changed {
            self.rebuild_indexes();
        }
    }

    /// Records what an upstream stated about itself in the answer to a request of `sent`.
    pub fn hear(&mut self, now: Time, sent: Time, server: &Arc<Server>, notice: Notice) -> News {
        let Some(member) = self.get_mut(&server.id) else {
            let mut standing = self.notices.take(server);
            let news = standing.add(now, sent, notice);
            self.notices.keep(now, server.clone(), standing);
            return News { is_leaving: notice.is_leaving, ..news };
        };
        if !member.server.is_same_incarnation(server) {
            return News::default();
        }
        member.is_tolerance_known |= notice.tolerance != Statement::Unknown;
        let news = member.standing.add(now, sent, notice);
        if member.standing.tolerance.in_force(now).is_some() {
            self.brittle_until = now + TTL;
        }
        news
    }

    /// The refusals per second that a brittle member bears. The servers of a service are brittle at
    /// the same time, so one that has stated nothing yet bears as few as any of them, also of those
    /// that are not listed now: all may have fallen over.
    pub fn tolerance(&self, now: Time, key: MemberKey) -> Option<f64> {
        if now >= self.brittle_until {
            return None;
        }
        let member = &self.members[key];
        let own = member.standing.tolerance.in_force(now);
        if own.is_some() || member.is_tolerance_known {
            return own;
        }
        let service = &member.server.service;
        let others = self.of_service(service).iter();
        let stated = others.filter_map(|key| self.members[*key].standing.tolerance.in_force(now));
        stated.chain(self.notices.tolerances(now, service)).min_by(f64::total_cmp)
    }

    /// Records another instance's report on a rate limit; what it changes.
    pub fn receive_limit(&mut self, now: Time, report: &Report) -> Option<limit::Change> {
        let id = self.receive_report(now, report, |standing| &mut standing.limit)?;
        self.limit_change(now, &id)
    }

    /// Records another instance's report on one of an upstream's limits; the upstream if the limit
    /// changes.
    pub fn receive_report(
        &mut self,
        now: Time,
        report: &Report,
        limit: impl Fn(&mut Standing) -> &mut State,
    ) -> Option<ServerId> {
        let key = self.by_server_key(report.server)?;
        let member = &mut self.members[key];
        let is_changed =
            member.server.born == report.born && limit(&mut member.standing).receive(now, report);
        if member.standing.tolerance.in_force(now).is_some() {
            self.brittle_until = now + TTL;
        }
        is_changed.then(|| member.server.id.clone())
    }

    /// The rate limit of a listed upstream, for the log.
    pub fn limit_change(&mut self, now: Time, id: &ServerId) -> Option<limit::Change> {
        let member = self.get_mut(id)?;
        let (rate, recent_sends) = (member.standing.limit.in_force(now), member.recent_sends(now));
        Some(limit::Change { server: id.clone(), rate, recent_sends })
    }

    /// Rebuilds the indexes after members were added, removed or moved to another service.
    fn rebuild_indexes(&mut self) {
        self.keys = self.members.iter().map(|(key, member)| (member.key, key)).collect();
        self.groups.clear();
        for (key, member) in &self.members {
            let group = self.groups.entry(member.server.service.clone()).or_default();
            group.keys.push(key);
            group.ring.extend(
                (0..RING_POINTS).map(|point| (stable_hash(&(&member.server.id, point)), key)),
            );
        }
        self.groups.values_mut().for_each(|group| group.ring.sort_unstable());
    }

    /// The member with an upstream's id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(*self.ids.get(id)?)
    }

    /// The key of the member with an upstream's id.
    pub fn key(&self, id: &str) -> Option<MemberKey> {
        self.ids.get(id).copied()
    }

    /// The member with an upstream's id, mutably.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Member> {
        self.members.get_mut(*self.ids.get(id)?)
    }

    /// The member with a hashed id.
    pub fn by_server_key(&self, key: ServerKey) -> Option<MemberKey> {
        self.keys.get(&key).copied()
    }

    /// All members.
    pub fn values(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// All members of a service.
    pub fn of_service(&self, service: &ServiceName) -> &[MemberKey] {
        self.groups.get(service).map_or(&[], |group| &group.keys)
    }

    /// A random sample of `count` members of a service, which may contain duplicates.
    pub fn sample(
        &self,
        service: &ServiceName,
        count: usize,
        rng: &mut ChaCha12Rng,
    ) -> Vec<MemberKey> {
        let keys = self.of_service(service);
        if keys.is_empty() {
            return Vec::new();
        }
        (0..count).map(|_| keys[rng.random_range(0..keys.len())]).collect()
    }

    /// The usable member that ranks first for a part, by an order that is equal on all instances.
    pub fn primary(
        &self,
        service: &ServiceName,
        part: &str,
        is_usable: impl Fn(&Member) -> bool,
    ) -> Option<MemberKey> {
        let ring = &self.groups.get(service)?.ring;
        let start = stable_hash(&part);
        let (before, after) = ring.split_at(ring.partition_point(|(point, _)| *point < start));
        let mut order = after.iter().chain(before);
        order.find(|(_, key)| is_usable(&self.members[*key])).map(|(_, key)| *key)
    }

    /// Records that a member holds the parts of a prompt that it was sent; `free` tokens of its
    /// memory are not occupied by running requests.
    pub fn record_prefill(
        &mut self,
        now: Time,
        key: MemberKey,
        parts: &[(PartKey, u32)],
        residence: Duration,
        free: u64,
    ) {
        self.members[key].cache.record_prefill(now, parts, residence, free);
        for (part, _) in parts {
            let holders = self.holders.entry(*part).or_default();
            if !holders.contains(&key) {
                holders.push(key);
            }
        }
        if self.holders.len() >= self.cleanup_size.max(HOLDERS_CLEANUP_SIZE) {
            self.forget_dropped();
        }
    }

    fn forget_dropped(&mut self) {
        let members = &self.members;
        self.holders.retain(|part, holders| {
            holders.retain(|key| members.get(*key).is_some_and(|m| m.cache.holds(*part)));
            !holders.is_empty()
        });
        self.cleanup_size = self.holders.len() * 2;
    }

    /// Some usable members that hold the most of a prompt, with the number of tokens that they hold
    /// from its start on. `point` selects the holder of a part at which the search begins.
    pub fn holders(
        &self,
        parts: &[(PartKey, u32)],
        point: usize,
        is_usable: impl Fn(&Member) -> bool,
    ) -> Vec<(MemberKey, u32)> {
        let mut found: Vec<(MemberKey, u32)> = Vec::new();
        for (part, _) in parts.iter().rev() {
            let Some(known) = self.holders.get(part) else { continue };
            let (before, after) = known.split_at(point % known.len());
            for key in after.iter().chain(before).take(HOLDERS_EXAMINED) {
                let Some(member) = self.members.get(*key) else { continue };
                let is_known = found.iter().any(|(known, _)| known == key);
                let tokens = member.cache.held_tokens(parts);
                if tokens > 0 && !is_known && is_usable(member) {
                    found.push((*key, tokens));
                }
            }
            if found.len() >= HOLDERS_WANTED {
                break;
            }
        }
        found
    }
}

impl Index<MemberKey> for Roster {
    type Output = Member;

    fn index(&self, key: MemberKey) -> &Member {
        &self.members[key]
    }
}

impl IndexMut<MemberKey> for Roster {
    fn index_mut(&mut self, key: MemberKey) -> &mut Member {
        &mut self.members[key]
    }
}

/// Number of instances that rank before this one for an upstream, by rendezvous hashing.
pub fn own_rank(view: &View, id: &ServerId) -> usize {
    let Some(own) = view.own_address.as_ref().map(|own| stable_hash(&(*own, id))) else {
        return usize::MAX;
    };
    view.peers.iter().filter(|peer| stable_hash(&(peer.address, id)) > own).count()
}
