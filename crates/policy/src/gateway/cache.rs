//! The parts that an engine probably holds.
//!
//! Running requests and cached parts share an engine's memory. The parts of a running request stay;
//! the others are evicted, least recently used first, from what running requests leave free. Under
//! load that is a small part of the memory, so a cache that ignored running requests would expect
//! parts where they are long evicted, and each such error costs a second prefill.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::gossip::PartKey;
use crate::Time;

/// Parts that an engine probably holds.
#[derive(Debug, Default)]
pub struct Cache {
    parts: FxHashMap<PartKey, Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u32,
    /// When the last request that uses it probably ends.
    used_until: Time,
}

impl Cache {
    /// Tokens at the prompt's start that need no prefill.
    pub fn held_tokens(&self, parts: &[(PartKey, u32)]) -> u32 {
        let held = parts.iter().take_while(|(key, _)| self.parts.contains_key(key));
        held.map(|(_, tokens)| tokens).sum()
    }

    /// Whether a part needs no prefill.
    pub fn holds(&self, part: PartKey) -> bool {
        self.parts.contains_key(&part)
    }

    /// Adds the parts of a prompt that is expected to run for `residence`, and evicts unused parts
    /// beyond `free` tokens, which running requests leave.
    pub fn record_prefill(
        &mut self,
        now: Time,
        parts: &[(PartKey, u32)],
        residence: Duration,
        free: u64,
    ) {
        let used_until = now + residence;
        for (key, tokens) in parts {
            let part = self.parts.entry(*key).or_insert(Part { tokens: *tokens, used_until });
            part.tokens = *tokens;
            part.used_until = part.used_until.max(used_until);
        }
        self.evict(now, free);
    }

    fn evict(&mut self, now: Time, free: u64) {
        let unused = self.parts.iter().filter(|(_, part)| part.used_until <= now);
        let mut unused: Vec<(Time, PartKey, u64)> =
            unused.map(|(key, part)| (part.used_until, *key, part.tokens.into())).collect();
        let mut tokens: u64 = unused.iter().map(|(_, _, tokens)| tokens).sum();
        if tokens <= free {
            return;
        }
        unused.sort_unstable();
        for (_, key, size) in unused {
            self.parts.remove(&key);
            tokens -= size;
            if tokens <= free {
                return;
            }
        }
    }
}
