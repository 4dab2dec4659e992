//! Tests of entries that instances keep in the metadata store, with writes that are lost or late.

use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::ephemeral::{Entry, Listing, Row, Status};
use acacia_policy::kv::{Lease, Revision};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

const LEASE: Lease = Lease { era: 1, id: 7 };

fn revision(number: i64) -> Revision {
    Revision { era: LEASE.era, number }
}

/// A listing as of a revision, with a row under a lease that was written at a revision.
fn listing(as_of: i64, row: Option<(i64, i64)>) -> Listing {
    let row = row.map(|(lease, number)| Row { lease: Some(lease), revision: revision(number) });
    Listing { as_of: revision(as_of), row }
}

/// An entry with a lease.
fn leased() -> Entry {
    let mut entry = Entry::default();
    entry.granted(LEASE);
    entry
}

#[test]
fn status_of_write_without_answer() {
    let mut entry = leased();
    assert_eq!(Entry::default().status(listing(3, None)), Status::Unleased);
    assert_eq!(entry.status(listing(3, None)), Status::Unwritten);
    entry.attempted(Time::ZERO);
    assert!(!entry.may_write(Duration::from_millis(399)));
    assert!(entry.may_write(Duration::from_millis(400)));
    assert_eq!(entry.replaced(listing(3, None)), Revision::absent(LEASE.era));
    assert_eq!(entry.status(listing(3, Some((2, 3)))), Status::Occupied);
    assert_eq!(entry.status(listing(4, Some((LEASE.id, 4)))), Status::Listed);
    assert_eq!(entry.status(listing(5, None)), Status::Missing, "it was there");
}

#[test]
fn status_before_write_is_seen() {
    let mut entry = leased();
    entry.written(revision(5));
    assert_eq!(entry.status(listing(4, Some((2, 3)))), Status::Unseen);
    assert_eq!(entry.status(listing(5, None)), Status::Missing);
    assert_eq!(entry.status(listing(6, Some((2, 6)))), Status::Displaced);
    assert_eq!(entry.replaced(listing(6, Some((2, 6)))), revision(6));
}

#[test]
fn status_after_restore_of_older_copy() {
    let mut entry = leased();
    entry.written(revision(5));
    let as_of = Revision { era: 2, number: 4 };
    assert_eq!(entry.status(Listing { as_of, row: None }), Status::Unleased);
    entry.granted(Lease { era: 2, id: 9 });
    let row = Row { lease: Some(9), revision: revision(3) };
    assert_eq!(entry.status(Listing { row: Some(row), as_of }), Status::Unwritten, "an old row");
    assert_eq!(entry.replaced(Listing { row: Some(row), as_of }), Revision::absent(2));
}

/// After an outage, the listing may be older than the end of the lease.
#[test]
fn status_of_row_under_ended_lease() {
    let mut entry = leased();
    let old = listing(4, Some((LEASE.id, 4)));
    assert_eq!(entry.status(old), Status::Listed);
    entry.ended();
    assert_eq!(entry.status(old), Status::Unleased);
    entry.granted(Lease { id: 9, ..LEASE });
    assert_eq!(entry.status(old), Status::Unwritten);
    assert_eq!(entry.replaced(old), Revision::absent(LEASE.era));
}

#[test]
fn status_without_stated_lease() {
    let row = Row { lease: None, revision: revision(4) };
    let listing = Listing { as_of: revision(4), row: Some(row) };
    assert_eq!(leased().status(listing), Status::Listed);
}

/// Steps of a run with faults, and of the calm time after it.
const FAULT_STEPS: u32 = 120;
const CALM_STEPS: u32 = 60;
/// Duration of a step.
const STEP: Duration = Duration::from_millis(200);
/// Time to live of a lease, and the interval between renewals.
const TTL: Duration = Duration::from_secs(4);
const RENEWAL: Duration = Duration::from_secs(1);

/// A write on its way to the store.
#[derive(Clone, Copy)]
struct Write {
    due: Time,
    expected: Option<i64>,
    lease: i64,
}

/// A store with one key, and the processes that keep an entry at it, one after the other.
struct World {
    rng: ChaCha12Rng,
    now: Time,
    revision: i64,
    row: Option<(i64, i64)>,
    /// Leases with the time of their end.
    leases: Vec<(i64, Time)>,
    late: Vec<Write>,
    entry: Entry,
    renewed: Time,
    /// What the process knows of the store.
    seen: Listing,
    is_calm: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha12Rng::seed_from_u64(seed),
            now: Time::ZERO,
            revision: 1,
            row: None,
            leases: Vec::new(),
            late: Vec::new(),
            entry: Entry::default(),
            renewed: Time::ZERO,
            seen: listing(0, None),
            is_calm: false,
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        !self.is_calm && self.rng.random_bool(share)
    }

    /// Executes a write, if its condition holds and its lease is alive.
    fn execute(&mut self, write: Write) -> bool {
        let found = self.row.map_or(0, |(_, revision)| revision);
        let is_alive = self.leases.iter().any(|(id, _)| *id == write.lease);
        if !is_alive || write.expected.is_some_and(|expected| expected != found) {
            return false;
        }
        self.revision += 1;
        self.row = Some((write.lease, self.revision));
        true
    }

    fn expire(&mut self) {
        let now = self.now;
        self.leases.retain(|(_, ends)| now < *ends);
        let leases = &self.leases;
        if self.row.is_some_and(|(lease, _)| !leases.iter().any(|(id, _)| *id == lease)) {
            self.revision += 1;
            self.row = None;
        }
        let (due, late) = self.late.iter().partition(|write| write.due <= now);
        self.late = late;
        let due: Vec<Write> = due;
        for write in due {
            self.execute(write);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.expire();
        if self.chance(0.03) {
            // The process is killed, and another one starts.
            (self.entry, self.seen) = (Entry::default(), listing(0, None));
        }
        if self.chance(0.03) {
            // An earlier build writes without a condition, under a lease that it doesn't renew.
            let lease = self.grant();
            let due = self.now + STEP * self.rng.random_range(0..20);
            self.late.push(Write { due, expected: None, lease });
        }
        if !self.chance(0.4) {
            self.seen = listing(self.revision, self.row);
        }
        self.act();
    }

    fn grant(&mut self) -> i64 {
        let id = self.rng.random_range(1..i64::MAX);
        self.leases.push((id, self.now + TTL));
        id
    }

    /// What the process does, as the registration of an instance does.
    fn act(&mut self) {
        if let Some(lease) = self.entry.lease().filter(|_| self.now >= self.renewed + RENEWAL)
            && !self.chance(0.3)
        {
            let ends = self.now + TTL;
            match self.leases.iter_mut().find(|(id, _)| *id == lease.id) {
                Some(kept) => (kept.1, self.renewed) = (ends, self.now),
                None => self.entry.ended(),
            }
        }
        if self.entry.status(self.seen) == Status::Unleased {
            let id = self.grant();
            self.entry.granted(Lease { era: LEASE.era, id });
            self.renewed = self.now;
        }
        let status = self.entry.status(self.seen);
        let is_due = !matches!(status, Status::Unleased | Status::Unseen | Status::Listed);
        if is_due && self.entry.may_write(self.now) {
            self.write();
        }
    }

    fn write(&mut self) {
        let Some(lease) = self.entry.lease() else { return };
        let expected = Some(self.entry.replaced(self.seen).number);
        let write = Write { due: self.now, expected, lease: lease.id };
        self.entry.attempted(self.now);
        if self.chance(0.4) {
            // No answer: the write is never executed, or is late.
            if self.rng.random_bool(0.7) {
                let due = self.now + STEP * self.rng.random_range(0..30);
                self.late.push(Write { due, ..write });
            }
        } else if self.execute(write) {
            self.entry.written(revision(self.revision));
        }
    }
}

/// Regression, review case 6: an instance whose first write was executed after its second one was
/// not listed any more, as nobody renewed the lease of the first.
#[test]
fn entry_is_listed_after_lost_and_late_writes() {
    for seed in 0..2_000 {
        let mut world = World::new(seed);
        (0..FAULT_STEPS).for_each(|_| world.step());
        world.is_calm = true;
        for step in 0..CALM_STEPS {
            world.step();
            // Late writes and leases of earlier processes are over by then.
            if step > CALM_STEPS * 3 / 4 {
                let lease = world.entry.lease().map(|lease| lease.id);
                assert_eq!(world.row.map(|(lease, _)| lease), lease, "seed {seed}");
            }
        }
    }
}
