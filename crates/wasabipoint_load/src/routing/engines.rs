//! A small model of engines with a prefix cache, and of what an entry process knows of them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use rand::Rng;
use rand::rngs::StdRng;

/// Requests that an engine runs at once.
pub(super) const CONCURRENCY: u32 = 16;
/// Blocks that the prefix cache of an engine holds.
const CACHE_BLOCKS: u32 = 3_000;
/// Time to compute a block of 256 bytes, about 64 tokens.
const BLOCK_MS: u64 = 8;

/// An engine computes prompts one after the other and runs a bounded batch.
#[derive(Default)]
pub(super) struct Engine {
    ends: BinaryHeap<Reverse<u64>>,
    prefill_free_ms: u64,
    cached: HashMap<u64, CachedPrefix>,
    cached_blocks: u32,
    events: Vec<CacheEvent>,
    pub(super) sampled_load: u32,
}

struct CachedPrefix {
    blocks: u32,
    used_ms: u64,
}

#[derive(Clone, Copy)]
struct CacheEvent {
    time_ms: u64,
    prefix: u64,
    is_stored: bool,
}

/// How a request ran.
pub(super) struct RunTimes {
    pub(super) first_token_ms: u64,
    pub(super) end_ms: u64,
    pub(super) hit_blocks: u32,
}

impl Engine {
    pub(super) fn load(&mut self, now_ms: u64) -> u32 {
        while self.ends.peek().is_some_and(|end| end.0 <= now_ms) {
            self.ends.pop();
        }
        self.ends.len() as u32
    }

    /// Runs a prompt that consists of a shared prefix and a unique rest.
    pub(super) fn run(
        &mut self,
        now_ms: u64,
        prefix: (u64, u32),
        rest: (u64, u32),
        decode_ms: u64,
    ) -> RunTimes {
        let slot_ms = if self.load(now_ms) < CONCURRENCY {
            now_ms
        } else {
            self.slot_free_ms()
        };
        let hit_blocks = self.cached.get(&prefix.0).map_or(0, |cached| cached.blocks);
        let computed = u64::from(prefix.1 + rest.1 - hit_blocks);
        let first_token_ms = slot_ms.max(self.prefill_free_ms) + computed * BLOCK_MS;
        self.prefill_free_ms = first_token_ms;
        let end_ms = first_token_ms + decode_ms;
        self.ends.push(Reverse(end_ms));
        self.store(prefix, first_token_ms);
        self.store(rest, first_token_ms);
        RunTimes {
            first_token_ms,
            end_ms,
            hit_blocks,
        }
    }

    /// When the request that is next in order gets a place in the batch.
    fn slot_free_ms(&self) -> u64 {
        let mut ends: Vec<u64> = self.ends.iter().map(|end| end.0).collect();
        ends.sort_unstable();
        ends[ends.len() - CONCURRENCY as usize]
    }

    fn store(&mut self, (prefix, blocks): (u64, u32), now_ms: u64) {
        let used_ms = now_ms;
        let entry = CachedPrefix { blocks, used_ms };
        if self.cached.insert(prefix, entry).is_none() {
            self.cached_blocks += blocks;
            self.log(now_ms, prefix, true);
        }
        while self.cached_blocks > CACHE_BLOCKS {
            let oldest = self.cached.iter().min_by_key(|(key, c)| (c.used_ms, **key));
            let Some(oldest) = oldest.map(|(key, _)| *key) else {
                return;
            };
            if let Some(removed) = self.cached.remove(&oldest) {
                self.cached_blocks -= removed.blocks;
                self.log(now_ms, oldest, false);
            }
        }
    }

    fn log(&mut self, time_ms: u64, prefix: u64, is_stored: bool) {
        self.events.push(CacheEvent {
            time_ms,
            prefix,
            is_stored,
        });
    }
}

/// What an entry process knows of one engine.
#[derive(Default, Clone)]
pub(super) struct EngineKnowledge {
    pub(super) in_flight: u32,
    pub(super) reported_load: u32,
    pub(super) report_ms: u64,
    prefixes: HashSet<u64>,
    next_event: usize,
}

impl EngineKnowledge {
    pub(super) fn expects(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// An entry process expects the prompts that it sent to be cached.
    pub(super) fn note_sent(&mut self, prefix: u64) {
        self.in_flight += 1;
        self.prefixes.insert(prefix);
    }

    /// The end of a response brings the last sampled load and cache events, late and with gaps.
    pub(super) fn note_end(
        &mut self,
        engine: &Engine,
        now_ms: u64,
        event_delay_ms: u64,
        event_loss: f64,
        rng: &mut StdRng,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.reported_load = engine.sampled_load;
        self.report_ms = now_ms;
        let events = &engine.events[self.next_event..];
        let arrived = events
            .iter()
            .take_while(|event| event.time_ms + event_delay_ms <= now_ms);
        for event in arrived {
            self.next_event += 1;
            if rng.random_bool(event_loss) {
                continue;
            }
            if event.is_stored {
                self.prefixes.insert(event.prefix);
            } else {
                self.prefixes.remove(&event.prefix);
            }
        }
    }
}
