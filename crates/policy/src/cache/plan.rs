//! What a returning prompt would cost at each candidate.
//!
//! The estimate is queue wait, plus import over the link's remaining budget, plus recompute of the
//! rest; the profile's weights then add what recompute and link time are worth to the operators.
//! Sources are prepared once for a request, after which a candidate costs a few additions.

use std::ops::Range;
use std::sync::Arc;

use acacia_catalog::object::Profile;

use super::link::{Place, Quote};
use crate::dispatch::{Holding, Import};
use crate::request::{BLOCK_TOKENS, BlockKey};

/// Milliseconds in a second.
const MS: f64 = 1_000.0;

/// What the operators weigh, in milliseconds of waiting.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weights {
    /// Worth of one second of recompute.
    pub recompute_ms: f64,
    /// Worth of one second of link time.
    pub link_ms: f64,
}

impl From<&Profile> for Weights {
    fn from(profile: &Profile) -> Self {
        Self {
            recompute_ms: f64::from(profile.recompute_weight_ms),
            link_ms: f64::from(profile.link_weight_ms),
        }
    }
}

/// The part of a prompt that a plan depends on.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Tokens.
    pub tokens: usize,
    /// Full pieces.
    pub pieces: usize,
}

/// An upstream that could run it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Full pieces from the start that it seems to hold.
    pub held: usize,
    /// Seconds that a request waits there.
    pub wait: f64,
    /// Prompt tokens that it computes a second.
    pub prefill: f64,
}

/// What a candidate would cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// Milliseconds to the first token.
    pub first_token_ms: f64,
    /// The same with the profile's weights added; the least wins.
    pub score: f64,
    /// Pieces to import first.
    pub imports: Range<usize>,
    /// Prompt tokens to compute.
    pub computed: usize,
}

/// Where the stores hold a prompt's pieces.
#[derive(Default)]
pub struct Sources {
    holdings: Option<Arc<[Holding]>>,
    zones: Vec<Option<Place>>,
    pieces: Pieces,
    runs: Vec<Run>,
    ends: Vec<usize>,
    any: bool,
    routes: Vec<Option<Route>>,
}

/// The stores that hold each piece, with its bytes, one piece after the other.
#[derive(Default)]
struct Pieces {
    starts: Vec<usize>,
    entries: Vec<(usize, u64)>,
}

impl Pieces {
    fn new(count: usize, list: &[Holding]) -> Self {
        let mut counts = vec![0; count + 1];
        for holding in list {
            for (counted, bytes) in counts[1..].iter_mut().zip(&holding.blocks) {
                *counted += usize::from(bytes.is_some());
            }
        }
        for index in 0..count {
            counts[index + 1] += counts[index];
        }
        let mut free = counts.clone();
        let mut entries = vec![(0, 0); counts[count]];
        for (at, holding) in list.iter().enumerate() {
            for (free, bytes) in free[..count].iter_mut().zip(&holding.blocks) {
                if let Some(bytes) = *bytes {
                    entries[*free] = (at, bytes);
                    *free += 1;
                }
            }
        }
        Self { starts: counts, entries }
    }

    /// Groups pieces in a row that are held alike.
    fn runs(&self) -> Vec<Run> {
        let mut runs: Vec<Run> = Vec::new();
        for index in 0..self.starts.len() - 1 {
            let stores = self.starts[index]..self.starts[index + 1];
            match runs.last_mut() {
                Some(run) if self.entries[run.stores.clone()] == self.entries[stores.clone()] => {
                    run.pieces.end = index + 1;
                }
                _ => runs.push(Run { pieces: index..index + 1, stores }),
            }
        }
        runs
    }

    fn of(&self, index: usize) -> &[(usize, u64)] {
        &self.entries[self.starts[index]..self.starts[index + 1]]
    }
}

/// Pieces in a row that the same stores hold at the same size.
struct Run {
    pieces: Range<usize>,
    stores: Range<usize>,
}

/// The cheapest store of each run as seen from one zone.
struct Route {
    chosen: Vec<usize>,
    piece_seconds: Vec<f64>,
    wait: f64,
}

impl Sources {
    /// Prepares the stores' answers about `count` pieces; `zone` tells where a store stands.
    pub fn new(
        count: usize,
        holdings: Option<Arc<[Holding]>>,
        zone: impl Fn(&Holding) -> Option<Place>,
    ) -> Self {
        let list = holdings.as_deref().unwrap_or_default();
        let zones = list.iter().map(zone).collect();
        let pieces = Pieces::new(count, list);
        let runs = pieces.runs();
        let mut ends = vec![count; count + 1];
        for index in (0..count).rev() {
            ends[index] = if pieces.of(index).is_empty() { index } else { ends[index + 1] };
        }
        let any = !pieces.entries.is_empty();
        Self { holdings, zones, pieces, runs, ends, any, routes: Vec::new() }
    }

    /// Whether no piece is held.
    pub fn is_empty(&self) -> bool {
        !self.any
    }

    /// Works out the cheapest sources for a zone; `quote` prices the link from another.
    pub fn price(&mut self, to: Place, mut quote: impl FnMut(Place) -> Option<Quote>) {
        let slot = usize::from(to);
        if !self.any || self.routes.get(slot).is_some_and(Option::is_some) {
            return;
        }
        let mut quotes: Vec<Option<Quote>> = Vec::new();
        for zone in self.zones.iter().flatten().map(|zone| usize::from(*zone)) {
            if quotes.len() <= zone {
                quotes.resize(zone + 1, None);
            }
            if quotes[zone].is_none() {
                quotes[zone] = Place::try_from(zone).ok().and_then(&mut quote);
            }
        }
        let route = Route::new(&self.pieces, &self.runs, &self.zones, &quotes);
        if self.routes.len() <= slot {
            self.routes.resize_with(slot + 1, || None);
        }
        self.routes[slot] = Some(route);
    }

    /// The imports of a range of pieces into a zone.
    pub fn imports(&self, to: Place, pieces: Range<usize>, blocks: &[BlockKey]) -> Vec<Import> {
        let Some(route) = self.route(to) else { return Vec::new() };
        let list = self.holdings.as_deref().unwrap_or_default();
        let mut imports = Vec::with_capacity(pieces.len());
        for (run, chosen) in self.runs.iter().zip(&route.chosen) {
            let Some(holding) = list.get(*chosen) else { continue };
            let bytes = |index: usize| holding.blocks.get(index).copied().flatten();
            imports.extend(overlap(&run.pieces, &pieces).filter_map(|index| {
                Some(Import {
                    block: blocks[index],
                    store: holding.store.clone(),
                    incarnation: holding.incarnation,
                    logical_bytes: bytes(index)?,
                })
            }));
        }
        imports
    }

    fn route(&self, to: Place) -> Option<&Route> {
        self.routes.get(usize::from(to))?.as_ref()
    }

    /// Pieces that the stores can supply from `held` on, and the seconds that it takes.
    fn offer(&self, to: Option<Place>, held: usize) -> (Range<usize>, f64) {
        let none = (held..held, 0.0);
        let Some(route) = to.and_then(|to| self.route(to)) else { return none };
        let end = self.ends.get(held).copied().unwrap_or(held);
        let seconds: f64 = self
            .runs
            .iter()
            .zip(&route.piece_seconds)
            .map(|(run, seconds)| overlap(&run.pieces, &(held..end)).len() as f64 * seconds)
            .filter(|seconds| !seconds.is_nan())
            .sum();
        if end <= held || !seconds.is_finite() {
            return none;
        }
        (held..end, seconds + route.wait)
    }
}

impl Route {
    fn new(
        pieces: &Pieces,
        runs: &[Run],
        zones: &[Option<Place>],
        quotes: &[Option<Quote>],
    ) -> Self {
        let held = |run: &Run| &pieces.entries[run.stores.clone()];
        let choose = |run| cheapest(held(run), zones, quotes).unwrap_or((0, f64::INFINITY));
        let (chosen, piece_seconds) = runs.iter().map(choose).unzip();
        let wait = quotes.iter().flatten().map(|q| q.wait).fold(f64::INFINITY, f64::min);
        Self { chosen, piece_seconds, wait }
    }
}

/// What two ranges have in common.
fn overlap(a: &Range<usize>, b: &Range<usize>) -> Range<usize> {
    let start = a.start.max(b.start);
    start..a.end.min(b.end).max(start)
}

/// What `candidate` in `zone` would cost; without a zone nothing is imported.
pub fn estimate(
    prompt: Prompt,
    candidate: Candidate,
    zone: Option<Place>,
    sources: &Sources,
    weights: Weights,
) -> Estimate {
    let held = candidate.held.min(prompt.pieces);
    let (offer, link) = sources.offer(zone, held);
    let without = weigh(prompt, candidate, held..held, 0.0, weights);
    if offer.is_empty() {
        return without;
    }
    let with = weigh(prompt, candidate, offer, link, weights);
    if with.score < without.score { with } else { without }
}

fn weigh(
    prompt: Prompt,
    candidate: Candidate,
    imports: Range<usize>,
    link: f64,
    weights: Weights,
) -> Estimate {
    let computed = prompt.tokens.saturating_sub(imports.end * BLOCK_TOKENS);
    let compute = computed as f64 / candidate.prefill.max(1.0);
    let first_token_ms = (candidate.wait + link + compute) * MS;
    let score = first_token_ms + compute * weights.recompute_ms + link * weights.link_ms;
    Estimate { first_token_ms, score, imports, computed }
}

fn cheapest(
    held: &[(usize, u64)],
    zones: &[Option<Place>],
    quotes: &[Option<Quote>],
) -> Option<(usize, f64)> {
    held.iter()
        .filter_map(|(at, bytes)| {
            let quote = quotes[usize::from(zones[*at]?)]?;
            Some((*at, *bytes as f64 * quote.seconds_per_byte))
        })
        .min_by(|a, b| a.1.total_cmp(&b.1))
}
