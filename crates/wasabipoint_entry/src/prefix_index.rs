//! Which prompt prefixes each endpoint's cache is expected to hold.

use std::collections::{HashSet, VecDeque};

use wasabipoint_kernel::EndpointId;
use wasabipoint_rpc::CacheEvent;

/// Bytes of a prefix block, as the engines count them.
const BLOCK_BYTES: usize = 256;

/// Blocks of one prompt that are compared. Longer prompts differ little in locality.
const MAX_PROMPT_BLOCKS: usize = 256;

/// A bounded set of endpoint and block pairs; the oldest pair is forgotten first.
#[derive(Debug)]
pub struct PrefixIndex {
    blocks: HashSet<(EndpointId, u64)>,
    order: VecDeque<(EndpointId, u64)>,
    capacity: usize,
}

impl PrefixIndex {
    /// Creates an index that holds at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            blocks: HashSet::new(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// Notes that an endpoint caches a block.
    pub fn insert(&mut self, endpoint: &EndpointId, block: u64) {
        let pair = (endpoint.clone(), block);
        if !self.blocks.insert(pair.clone()) {
            return;
        }
        self.order.push_back(pair);
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    /// Applies the cache events of a load report; after a gap, earlier knowledge is dropped.
    pub fn apply(&mut self, endpoint: &EndpointId, events: &[CacheEvent], has_gap: bool) {
        if has_gap {
            self.clear(endpoint);
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

    /// Drops all blocks of an endpoint.
    pub fn clear(&mut self, endpoint: &EndpointId) {
        self.blocks.retain(|(held, _)| held != endpoint);
        self.order.retain(|(held, _)| held != endpoint);
    }

    /// Counts the leading blocks that an endpoint is expected to hold.
    pub fn count_leading(&self, endpoint: &EndpointId, prompt: &[u64]) -> u32 {
        let mut pair = (endpoint.clone(), 0);
        let held = prompt.iter().take_while(|block| {
            pair.1 = **block;
            self.blocks.contains(&pair)
        });
        held.count() as u32
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Tells whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

/// Hashes the whole blocks of a prompt's text, each chained to the one before.
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
