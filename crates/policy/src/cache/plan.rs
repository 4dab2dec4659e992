//! What a returning prompt would cost at each candidate.
//!
//! The estimate is queue wait, plus import over the link's remaining budget, plus recompute of the
//! rest; the profile's weights then add what recompute and link time are worth to the operators.
//! Sources are prepared once for a request, after which a candidate costs a few additions.

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

use acacia_catalog::id::ZoneId;
use acacia_catalog::object::Profile;

use super::link::Quote;
use crate::dispatch::{Holding, Import};
use crate::request::{BlockKey, PIECE_TOKENS};

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
    ends: Vec<usize>,
    routes: HashMap<ZoneId, Route>,
}

/// The cheapest store of each piece as seen from one zone.
struct Route {
    chosen: Vec<usize>,
    seconds: Vec<f64>,
    wait: f64,
}

impl Sources {
    /// Prepares the stores' answers about `pieces` pieces.
    pub fn new(pieces: usize, holdings: Option<Arc<[Holding]>>) -> Self {
        let mut ends = vec![0; pieces + 1];
        let list = holdings.as_deref().unwrap_or_default();
        ends[pieces] = pieces;
        for index in (0..pieces).rev() {
            let held = list.iter().any(|h| bytes(h, index).is_some());
            ends[index] = if held { ends[index + 1] } else { index };
        }
        Self { holdings, ends, routes: HashMap::new() }
    }

    /// Whether any piece is held at all.
    pub fn is_empty(&self) -> bool {
        self.ends.iter().enumerate().all(|(index, end)| *end == index)
    }

    /// Works out the cheapest sources for a zone, where `quote` prices each holding's link.
    pub fn price(&mut self, zone: &ZoneId, mut quote: impl FnMut(&Holding) -> Option<Quote>) {
        if self.routes.contains_key(zone) || self.is_empty() {
            return;
        }
        let list = self.holdings.as_deref().unwrap_or_default();
        let quotes: Vec<Option<Quote>> = list.iter().map(&mut quote).collect();
        let pieces = self.ends.len() - 1;
        let mut route = Route {
            chosen: Vec::with_capacity(pieces),
            seconds: Vec::with_capacity(pieces + 1),
            wait: 0.0,
        };
        let mut total = 0.0;
        route.seconds.push(total);
        for index in 0..pieces {
            let (store, seconds) = cheapest(list, &quotes, index).unwrap_or((0, f64::INFINITY));
            total += seconds;
            route.chosen.push(store);
            route.seconds.push(total);
        }
        route.wait = quotes.iter().flatten().map(|q| q.wait).fold(f64::INFINITY, f64::min);
        self.routes.insert(zone.clone(), route);
    }

    /// The imports of a range of pieces into a zone.
    pub fn imports(&self, zone: &ZoneId, pieces: Range<usize>, blocks: &[BlockKey]) -> Vec<Import> {
        let Some(route) = self.routes.get(zone) else { return Vec::new() };
        let list = self.holdings.as_deref().unwrap_or_default();
        pieces
            .filter_map(|index| {
                let holding = list.get(route.chosen[index])?;
                Some(Import {
                    block: blocks[index],
                    store: holding.store.clone(),
                    incarnation: holding.incarnation,
                    logical_bytes: bytes(holding, index)?,
                })
            })
            .collect()
    }

    /// Pieces that the stores can supply from `held` on, and the seconds that it takes.
    fn offer(&self, zone: &ZoneId, held: usize) -> (Range<usize>, f64) {
        let none = (held..held, 0.0);
        let Some(route) = self.routes.get(zone) else { return none };
        let end = self.ends.get(held).copied().unwrap_or(held);
        let seconds = route.seconds[end] - route.seconds[held];
        if end <= held || !seconds.is_finite() {
            return none;
        }
        (held..end, seconds + route.wait)
    }
}

/// What `candidate` in `zone` would cost.
pub fn estimate(
    prompt: Prompt,
    candidate: Candidate,
    zone: &ZoneId,
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
    let computed = prompt.tokens.saturating_sub(imports.end * PIECE_TOKENS);
    let compute = computed as f64 / candidate.prefill.max(1.0);
    let first_token_ms = (candidate.wait + link + compute) * MS;
    let score = first_token_ms + compute * weights.recompute_ms + link * weights.link_ms;
    Estimate { first_token_ms, score, imports, computed }
}

fn bytes(holding: &Holding, index: usize) -> Option<u64> {
    holding.blocks.get(index).copied().flatten()
}

fn cheapest(list: &[Holding], quotes: &[Option<Quote>], index: usize) -> Option<(usize, f64)> {
    list.iter()
        .zip(quotes)
        .enumerate()
        .filter_map(|(at, (holding, quote))| {
            let seconds = bytes(holding, index)? as f64 * quote.as_ref()?.seconds_per_byte;
            Some((at, seconds))
        })
        .min_by(|a, b| a.1.total_cmp(&b.1))
}
