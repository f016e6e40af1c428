//! A simplified simulation of engines with a prefix cache, and of the view that an entry process has
//! of them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use rand::Rng;
use rand::rngs::StdRng;

/// Requests that an engine runs at once.
pub(super) const CONCURRENCY: u32 = 16;
/// Capacity of the prefix cache of an engine, in blocks.
const CACHE_BLOCKS: u32 = 3_000;
/// Prefill time per block of 256 bytes, which is about 64 tokens.
const PREFILL_MS_PER_BLOCK: u64 = 8;

/// An engine that prefills prompts one after the other and decodes a bounded batch.
#[derive(Default)]
pub(super) struct Engine {
    running_ends_ms: BinaryHeap<Reverse<u64>>,
    prefill_free_ms: u64,
    cached_prefixes: HashMap<u64, CachedPrefix>,
    cached_blocks: u32,
    /// All cache events since the start, in order.
    events: Vec<CacheEvent>,
    /// Load at the last sample, which responses report.
    pub(super) sampled_load: u32,
}

struct CachedPrefix {
    blocks: u32,
    last_used_ms: u64,
}

#[derive(Clone, Copy)]
struct CacheEvent {
    time_ms: u64,
    prefix: u64,
    is_stored: bool,
}

/// Simulated times and cache hits of a request.
pub(super) struct RequestTiming {
    pub(super) first_token_ms: u64,
    pub(super) end_ms: u64,
    pub(super) hit_blocks: u32,
}

impl Engine {
    /// Returns the number of unfinished requests.
    pub(super) fn load(&mut self, now_ms: u64) -> u32 {
        while self
            .running_ends_ms
            .peek()
            .is_some_and(|end| end.0 <= now_ms)
        {
            self.running_ends_ms.pop();
        }
        self.running_ends_ms.len() as u32
    }

    /// Runs a request whose prompt consists of a shared prefix and a unique suffix, each given as
    /// an identifier and a number of blocks.
    pub(super) fn run(
        &mut self,
        now_ms: u64,
        prefix: (u64, u32),
        suffix: (u64, u32),
        decode_ms: u64,
    ) -> RequestTiming {
        let start_ms = if self.load(now_ms) < CONCURRENCY {
            now_ms
        } else {
            self.next_slot_ms()
        };
        let hit_blocks = self
            .cached_prefixes
            .get(&prefix.0)
            .map_or(0, |cached| cached.blocks);
        let computed_blocks = u64::from(prefix.1 + suffix.1 - hit_blocks);
        let first_token_ms =
            start_ms.max(self.prefill_free_ms) + computed_blocks * PREFILL_MS_PER_BLOCK;
        self.prefill_free_ms = first_token_ms;
        let end_ms = first_token_ms + decode_ms;
        self.running_ends_ms.push(Reverse(end_ms));
        self.cache_prefix(prefix, first_token_ms);
        self.cache_prefix(suffix, first_token_ms);
        RequestTiming {
            first_token_ms,
            end_ms,
            hit_blocks,
        }
    }

    /// Returns when the next queued request gets a slot in the batch.
    fn next_slot_ms(&self) -> u64 {
        let mut ends_ms: Vec<u64> = self.running_ends_ms.iter().map(|end| end.0).collect();
        ends_ms.sort_unstable();
        ends_ms[ends_ms.len() - CONCURRENCY as usize]
    }

    /// Adds a prefix to the cache or refreshes it, then evicts the least recently used prefixes until
    /// the cache is within its capacity.
    fn cache_prefix(&mut self, (prefix, blocks): (u64, u32), now_ms: u64) {
        let last_used_ms = now_ms;
        let cached = CachedPrefix {
            blocks,
            last_used_ms,
        };
        if self.cached_prefixes.insert(prefix, cached).is_none() {
            self.cached_blocks += blocks;
            self.record_event(now_ms, prefix, true);
        }
        while self.cached_blocks > CACHE_BLOCKS {
            let oldest = self
                .cached_prefixes
                .iter()
                .min_by_key(|(key, cached)| (cached.last_used_ms, **key));
            let Some(oldest) = oldest.map(|(key, _)| *key) else {
                return;
            };
            if let Some(removed) = self.cached_prefixes.remove(&oldest) {
                self.cached_blocks -= removed.blocks;
                self.record_event(now_ms, oldest, false);
            }
        }
    }

    fn record_event(&mut self, time_ms: u64, prefix: u64, is_stored: bool) {
        self.events.push(CacheEvent {
            time_ms,
            prefix,
            is_stored,
        });
    }
}

/// An entry process's possibly outdated view of one engine.
#[derive(Default, Clone)]
pub(super) struct KnownEngineState {
    pub(super) in_flight: u32,
    pub(super) reported_load: u32,
    /// Time of the last load report.
    pub(super) report_ms: u64,
    /// Prefixes that the engine is expected to have cached.
    prefixes: HashSet<u64>,
    /// Index of the first cache event that has not been delivered.
    next_event: usize,
}

impl KnownEngineState {
    pub(super) fn expects_cached(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Records a request that was sent. Its prefix is assumed to be cached from now on.
    pub(super) fn record_dispatch(&mut self, prefix: u64) {
        self.in_flight += 1;
        self.prefixes.insert(prefix);
    }

    /// Updates the view when a response ends: the last sampled load, and the cache events that are
    /// old enough to have arrived and are not lost.
    pub(super) fn record_response_end(
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
        let delivered = events
            .iter()
            .take_while(|event| event.time_ms + event_delay_ms <= now_ms);
        for event in delivered {
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
