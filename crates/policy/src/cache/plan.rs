//! Cost estimate of a prompt at each candidate upstream.
//!
//! The estimate is the queue wait, plus the import over the link's remaining budget, plus the
//! prefill of the rest. The profile's weights then add the operators' cost of prefill and link
//! time. Sources are prepared once per request, after which each candidate needs only a few
//! additions.

use std::ops::Range;
use std::sync::Arc;

use acacia_catalog::object::Profile;

use super::link::{Quote, ZoneIndex};
use crate::dispatch::{Holding, Import};
use crate::request::{BLOCK_TOKENS, BlockKey};

const MS_PER_S: f64 = 1_000.0;

/// The operators' weights, in milliseconds of waiting.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weights {
    /// Cost of one second of recomputation.
    pub recompute_ms: f64,
    /// Cost of one second of link time.
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

/// Size of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Number of tokens.
    pub tokens: usize,
    /// Number of full blocks.
    pub blocks: usize,
}

/// An upstream that could run the prompt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Full blocks from the start of the prompt that it is likely to hold.
    pub held: usize,
    /// Expected queue wait, in seconds.
    pub wait: f64,
    /// Prefill speed, in tokens per second.
    pub prefill: f64,
}

/// Estimated cost at a candidate.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// Milliseconds to the first token.
    pub first_token_ms: f64,
    /// `first_token_ms` plus the weighted costs; the lowest score wins.
    pub score: f64,
    /// Blocks to import first.
    pub imports: Range<usize>,
    /// Prompt tokens to compute.
    pub computed: usize,
}

/// The stores that hold a prompt's blocks.
#[derive(Default)]
pub struct Sources {
    holdings: Option<Arc<[Holding]>>,
    zones: Vec<Option<ZoneIndex>>,
    blocks: Blocks,
    runs: Vec<Run>,
    ends: Vec<usize>,
    has_blocks: bool,
    routes: Vec<Option<Route>>,
}

/// The stores that hold each block, with the block's size in bytes, in block order.
#[derive(Default)]
struct Blocks {
    starts: Vec<usize>,
    entries: Vec<(usize, u64)>,
}

impl Blocks {
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

    /// Groups consecutive blocks that the same stores hold at the same size.
    fn runs(&self) -> Vec<Run> {
        let mut runs: Vec<Run> = Vec::new();
        for index in 0..self.starts.len() - 1 {
            let stores = self.starts[index]..self.starts[index + 1];
            match runs.last_mut() {
                Some(run) if self.entries[run.stores.clone()] == self.entries[stores.clone()] => {
                    run.blocks.end = index + 1;
                }
                _ => runs.push(Run { blocks: index..index + 1, stores }),
            }
        }
        runs
    }

    fn of(&self, index: usize) -> &[(usize, u64)] {
        &self.entries[self.starts[index]..self.starts[index + 1]]
    }
}

/// Consecutive blocks that the same stores hold at the same size.
struct Run {
    blocks: Range<usize>,
    stores: Range<usize>,
}

/// The cheapest store of each run for imports into one zone.
struct Route {
    chosen: Vec<usize>,
    block_seconds: Vec<f64>,
    wait: f64,
}

impl Sources {
    /// Prepares the stores' answers about `count` blocks; `zone` returns the zone of a store.
    pub fn new(
        count: usize,
        holdings: Option<Arc<[Holding]>>,
        zone: impl Fn(&Holding) -> Option<ZoneIndex>,
    ) -> Self {
        let list = holdings.as_deref().unwrap_or_default();
        let zones = list.iter().map(zone).collect();
        let blocks = Blocks::new(count, list);
        let runs = blocks.runs();
        let mut ends = vec![count; count + 1];
        for index in (0..count).rev() {
            ends[index] = if blocks.of(index).is_empty() { index } else { ends[index + 1] };
        }
        let has_blocks = !blocks.entries.is_empty();
        Self { holdings, zones, blocks, runs, ends, has_blocks, routes: Vec::new() }
    }

    /// Whether no store holds any block.
    pub fn is_empty(&self) -> bool {
        !self.has_blocks
    }

    /// Finds the cheapest sources for a zone; `quote` returns the cost of the link from another
    /// zone.
    pub fn price(&mut self, to: ZoneIndex, mut quote: impl FnMut(ZoneIndex) -> Option<Quote>) {
        let slot = usize::from(to);
        if !self.has_blocks || self.routes.get(slot).is_some_and(Option::is_some) {
            return;
        }
        let mut quotes: Vec<Option<Quote>> = Vec::new();
        for zone in self.zones.iter().flatten().map(|zone| usize::from(*zone)) {
            if quotes.len() <= zone {
                quotes.resize(zone + 1, None);
            }
            if quotes[zone].is_none() {
                quotes[zone] = ZoneIndex::try_from(zone).ok().and_then(&mut quote);
            }
        }
        let route = Route::new(&self.blocks, &self.runs, &self.zones, &quotes);
        if self.routes.len() <= slot {
            self.routes.resize_with(slot + 1, || None);
        }
        self.routes[slot] = Some(route);
    }

    /// The imports of a range of blocks into a zone.
    pub fn imports(&self, to: ZoneIndex, range: Range<usize>, keys: &[BlockKey]) -> Vec<Import> {
        let Some(route) = self.route(to) else { return Vec::new() };
        let list = self.holdings.as_deref().unwrap_or_default();
        let mut imports = Vec::with_capacity(range.len());
        for (run, chosen) in self.runs.iter().zip(&route.chosen) {
            let Some(holding) = list.get(*chosen) else { continue };
            let bytes = |index: usize| holding.blocks.get(index).copied().flatten();
            imports.extend(overlap(&run.blocks, &range).filter_map(|index| {
                Some(Import {
                    block: keys[index],
                    store: holding.store.clone(),
                    incarnation: holding.incarnation,
                    logical_bytes: bytes(index)?,
                })
            }));
        }
        imports
    }

    fn route(&self, to: ZoneIndex) -> Option<&Route> {
        self.routes.get(usize::from(to))?.as_ref()
    }

    /// Blocks that the stores can supply from `held` on, and the transfer time in seconds.
    fn offer(&self, to: Option<ZoneIndex>, held: usize) -> (Range<usize>, f64) {
        let none = (held..held, 0.0);
        let Some(route) = to.and_then(|to| self.route(to)) else { return none };
        let end = self.ends.get(held).copied().unwrap_or(held);
        let seconds: f64 = self
            .runs
            .iter()
            .zip(&route.block_seconds)
            .map(|(run, seconds)| overlap(&run.blocks, &(held..end)).len() as f64 * seconds)
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
        blocks: &Blocks,
        runs: &[Run],
        zones: &[Option<ZoneIndex>],
        quotes: &[Option<Quote>],
    ) -> Self {
        let held = |run: &Run| &blocks.entries[run.stores.clone()];
        let choose = |run| cheapest(held(run), zones, quotes).unwrap_or((0, f64::INFINITY));
        let (chosen, block_seconds) = runs.iter().map(choose).unzip();
        let wait = quotes.iter().flatten().map(|q| q.wait).fold(f64::INFINITY, f64::min);
        Self { chosen, block_seconds, wait }
    }
}

/// Intersection of two ranges.
fn overlap(a: &Range<usize>, b: &Range<usize>) -> Range<usize> {
    let start = a.start.max(b.start);
    start..a.end.min(b.end).max(start)
}

/// Estimates the cost at a `candidate` in `zone`. Without a zone, nothing is imported.
pub fn estimate(
    prompt: Prompt,
    candidate: Candidate,
    zone: Option<ZoneIndex>,
    sources: &Sources,
    weights: Weights,
) -> Estimate {
    let held = candidate.held.min(prompt.blocks);
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
    let first_token_ms = (candidate.wait + link + compute) * MS_PER_S;
    let score = first_token_ms + compute * weights.recompute_ms + link * weights.link_ms;
    Estimate { first_token_ms, score, imports, computed }
}

fn cheapest(
    held: &[(usize, u64)],
    zones: &[Option<ZoneIndex>],
    quotes: &[Option<Quote>],
) -> Option<(usize, f64)> {
    held.iter()
        .filter_map(|(at, bytes)| {
            let quote = quotes[usize::from(zones[*at]?)]?;
            Some((*at, *bytes as f64 * quote.seconds_per_byte))
        })
        .min_by(|a, b| a.1.total_cmp(&b.1))
}
