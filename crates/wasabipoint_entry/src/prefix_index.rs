//! Index of the prompt prefixes that each endpoint's cache is expected to hold.

use std::collections::{HashSet, VecDeque};

use wasabipoint_kernel::EndpointId;
use wasabipoint_rpc::CacheEvent;

/// Size of a prefix block in bytes, the same as in the engines.
const BLOCK_BYTES: usize = 256;

/// Maximum number of hashed blocks per prompt. Longer prompts differ little in cache locality.
const MAX_PROMPT_BLOCKS: usize = 256;

/// A bounded set of (endpoint, block) pairs with first-in, first-out eviction.
#[derive(Debug)]
pub struct PrefixIndex {
    blocks: HashSet<(EndpointId, u64)>,
    insertion_order: VecDeque<(EndpointId, u64)>,
    capacity: usize,
}

impl PrefixIndex {
    /// Creates an index that holds at most `capacity` pairs.
    pub fn new(capacity: usize) -> Self {
        Self {
            blocks: HashSet::new(),
            insertion_order: VecDeque::new(),
            capacity,
        }
    }

    /// Records that an endpoint caches a block.
    pub fn insert(&mut self, endpoint: &EndpointId, block: u64) {
        let pair = (endpoint.clone(), block);
        if !self.blocks.insert(pair.clone()) {
            return;
        }
        self.insertion_order.push_back(pair);
        while self.insertion_order.len() > self.capacity {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    /// Applies the cache events of a load report. If events before them were lost, drops all blocks
    /// of the endpoint first, since any of them may have been evicted.
    pub fn apply_events(&mut self, endpoint: &EndpointId, events: &[CacheEvent], has_gap: bool) {
        if has_gap {
            self.remove_endpoint(endpoint);
        }
        for event in events {
            match event {
                CacheEvent::Stored(block) => self.insert(endpoint, *block),
                CacheEvent::Removed(block) => {
                    self.blocks.remove(&(endpoint.clone(), *block));
                }
            }
        }
    }

    /// Removes all blocks of an endpoint.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.blocks.retain(|(other, _)| other != endpoint);
        self.insertion_order.retain(|(other, _)| other != endpoint);
    }

    /// Returns how many leading blocks of a prompt an endpoint is expected to have cached.
    pub fn count_cached_prefix(&self, endpoint: &EndpointId, prompt: &[u64]) -> u32 {
        let mut pair = (endpoint.clone(), 0);
        let cached = prompt.iter().take_while(|block| {
            pair.1 = **block;
            self.blocks.contains(&pair)
        });
        cached.count() as u32
    }

    /// Returns the number of (endpoint, block) pairs.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

/// Returns the chained hashes of a prompt's full blocks, where each hash covers the model name and
/// the prompt up to the end of its block. An incomplete last block is left out.
pub fn hash_prompt(model: &str, prompt: &[u8]) -> Vec<u64> {
    let mut text = Vec::with_capacity(model.len() + 1 + prompt.len());
    text.extend_from_slice(model.as_bytes());
    text.push(0);
    text.extend_from_slice(prompt);
    let mut previous = 0_u64;
    text.chunks_exact(BLOCK_BYTES)
        .take(MAX_PROMPT_BLOCKS)
        .map(|block| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&previous.to_le_bytes());
            hasher.update(block);
            let digest = hasher.finalize();
            let first = digest
                .as_bytes()
                .first_chunk::<8>()
                .expect("a digest has 32 bytes");
            previous = u64::from_le_bytes(*first);
            previous
        })
        .collect()
}
