//! A server that states how many refusals a second it bears, and falls over above that.

use std::time::Duration;

use tokio::time::Instant;

/// Time from the first statement until the server lets fewer requests wait.
pub const WARNING: Duration = Duration::from_secs(3);
/// Window in which refusals are counted.
const SPAN: Duration = Duration::from_secs(1);

/// A request that was refused for want of room.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// When it was refused.
    pub at: Instant,
    /// Its id.
    pub id: String,
}

/// A period in which a server is brittle.
#[derive(Clone, Debug)]
pub struct Period {
    /// Refusals in a second above which it falls over.
    pub tolerance: usize,
    /// Requests that it lets wait after the warning.
    pub queue: usize,
    /// When it was first stated.
    pub since: Instant,
    /// When it was no longer stated.
    pub until: Option<Instant>,
    /// Requests that were refused for want of room.
    pub refusals: Vec<Refusal>,
    /// When the server fell over.
    pub falls: Vec<Instant>,
}

impl Period {
    /// A period that begins now.
    pub fn new(tolerance: usize, queue: usize) -> Self {
        let (refusals, falls) = Default::default();
        Self { tolerance, queue, since: Instant::now(), until: None, refusals, falls }
    }

    /// Requests that the server lets wait now, if it would let `usual` wait otherwise.
    pub fn queue(&self, usual: usize) -> usize {
        if Instant::now() < self.since + WARNING { usual } else { self.queue.min(usual) }
    }

    /// Records a refusal for want of room; whether the server falls over.
    pub fn refuse(&mut self, id: &str) -> bool {
        let now = Instant::now();
        self.refusals.push(Refusal { at: now, id: id.to_owned() });
        let recent = self.recent(now).count();
        let falls = now >= self.since + WARNING && recent > self.tolerance;
        if falls {
            self.falls.push(now);
        }
        falls
    }

    /// The refusals in the second before a time.
    pub fn recent(&self, at: Instant) -> impl Iterator<Item = &Refusal> {
        let is_recent = move |refusal: &&Refusal| refusal.at <= at && refusal.at + SPAN > at;
        self.refusals.iter().filter(is_recent)
    }

    /// Most refusals in a second after the warning.
    pub fn peak(&self) -> usize {
        let from = self.since + WARNING;
        let times = self.refusals.iter().map(|refusal| refusal.at);
        let late: Vec<Instant> = times.filter(|at| *at >= from).collect();
        let within = |start: &Instant| {
            let window = *start..*start + SPAN;
            late.iter().filter(|at| window.contains(*at)).count()
        };
        late.iter().map(within).max().unwrap_or(0)
    }
}
