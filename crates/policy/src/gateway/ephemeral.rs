//! An entry in the metadata store that exists as long as the process that writes it.
//!
//! The entry is written under a lease, which its writer renews. A lease that is alive doesn't show that
//! the entry is there: a write that gets no answer may be executed seconds later, or never, and a
//! later one may have put the key under another lease by then. So the entry counts as present only
//! while the contents of the metadata store show it under the current lease. Each write states the
//! revision that it replaces, so that a late one fails once anything was written after it was sent, by
//! this process or by an earlier one. Writes are repeated under the same lease, so that it doesn't
//! matter which of them is executed.
//!
//! Load pattern: a fleet starts while the metadata store loses answers, so that the first write of each
//! instance is executed after the second one.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::Time;
use crate::kv::{Era, Lease, LeaseId, Revision};

/// Time after which a write is repeated if the contents don't show the entry: a change usually takes
/// less to be known here.
const WRITE_RETRY: Duration = Duration::from_millis(400);

/// An entry of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    lease: Option<Lease>,
    /// The lease before, if the metadata store has said that it is over: so are its keys.
    over: Option<Lease>,
    /// The last revision at which the entry is known to have been written.
    written: Option<Revision>,
    /// When the last write was sent.
    attempted: Option<Time>,
}

/// What the metadata store holds at the key of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The revision up to which changes of the key are known.
    pub as_of: Revision,
    /// The row; none if there is none.
    pub row: Option<Row>,
}

/// A row of the metadata store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// The lease that the key is under; none if the metadata store doesn't state it.
    pub lease: Option<LeaseId>,
    /// The revision of its last change.
    pub revision: Revision,
}

/// Whether the metadata store holds an entry.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// There is no lease to write it under.
    #[default]
    Unleased,
    /// Nothing is known of any write, and the key is free.
    Unwritten,
    /// Nothing is known of any write, and another entry has the key.
    Occupied,
    /// It was written, and the listing is older than that.
    Unseen,
    /// It is there, under the current lease.
    Listed,
    /// It was written, and is gone.
    Missing,
    /// It was written, and another entry has the key now.
    Displaced,
}

impl Entry {
    /// The lease that the entry is written under.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// Records that the metadata store granted a lease.
    pub fn granted(&mut self, lease: Lease) {
        *self = Self { lease: Some(lease), over: self.over, ..Self::default() };
    }

    /// Records that the lease is over, as the metadata store says.
    pub fn ended(&mut self) {
        *self = Self { over: self.lease.or(self.over), ..Self::default() };
    }

    /// Records that a write is sent.
    pub fn attempted(&mut self, now: Time) {
        self.attempted = Some(now);
    }

    /// Whether a write under the current lease was sent.
    pub fn is_attempted(&self) -> bool {
        self.attempted.is_some()
    }

    /// Records that a write was executed.
    pub fn written(&mut self, revision: Revision) {
        self.written = Some(revision);
    }

    /// Whether the entry is there, as far as a listing of its key shows.
    pub fn status(&mut self, listing: Listing) -> Status {
        let Some(lease) = self.lease.filter(|lease| lease.era >= listing.as_of.era) else {
            return Status::Unleased;
        };
        let row = self.row(listing, lease.era);
        if let Some(row) = row.filter(|row| row.lease.is_none_or(|id| id == lease.id)) {
            self.written = self.written.max(Some(row.revision));
            return Status::Listed;
        }
        match (row, self.written) {
            (_, Some(written)) if listing.as_of < written => Status::Unseen,
            (Some(_), Some(_)) => Status::Displaced,
            (Some(_), None) => Status::Occupied,
            (None, Some(_)) => Status::Missing,
            (None, None) => Status::Unwritten,
        }
    }

    /// Whether a write may be sent, as the last one has had time to be listed.
    pub fn may_write(&self, now: Time) -> bool {
        self.attempted.is_none_or(|attempted| now >= attempted + WRITE_RETRY)
    }

    /// The revision that a write replaces.
    pub fn replaced(&self, listing: Listing) -> Revision {
        let era = self.lease.map_or(listing.as_of.era, |lease| lease.era);
        self.row(listing, era).map_or(Revision::absent(era), |row| row.revision)
    }

    /// The row that the metadata store may still hold in an era.
    fn row(&self, listing: Listing, era: Era) -> Option<Row> {
        let is_over = |row: &Row| {
            self.over.is_some_and(|over| over.era == row.revision.era && row.lease == Some(over.id))
        };
        listing.row.filter(|row| row.revision.era == era && !is_over(row))
    }
}
