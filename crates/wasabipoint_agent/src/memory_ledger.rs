//! The memory ledger: what the endpoint's memory holds or may hold.

use std::collections::BTreeMap;

use wasabipoint_kernel::{AdapterName, ModelName};

/// Something that takes memory.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holding {
    /// A replica of a model.
    Replica(ModelName),
    /// An adapter.
    Adapter(AdapterName),
}

/// State of a holding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldingState {
    /// A load was sent.
    Loading,
    /// The engine confirmed the load.
    Loaded,
    /// An unload was sent and is not confirmed.
    Unloading,
}

/// A command does not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShort {
    /// Memory that the command needs.
    pub needed_mib: u64,
    /// Memory that is free.
    pub free_mib: u64,
}

/// Counts loaded, loading and unloading holdings. A holding counts from before its load is sent
/// until its absence is confirmed.
#[derive(Debug, Clone)]
pub struct MemoryLedger {
    usable_mib: u64,
    holdings: BTreeMap<Holding, (u64, HoldingState)>,
    // Memory that the engine reports beyond the holdings whose size is known.
    unattributed_mib: u64,
}

impl MemoryLedger {
    /// Creates an empty ledger over a memory of which a part is kept free for KV cache.
    pub fn new(memory_mib: u64, kv_reserve_mib: u64) -> Self {
        Self {
            usable_mib: memory_mib.saturating_sub(kv_reserve_mib),
            holdings: BTreeMap::new(),
            unattributed_mib: 0,
        }
    }

    /// Returns the memory that holdings may use.
    pub fn usable_mib(&self) -> u64 {
        self.usable_mib
    }

    /// Returns the memory that counts as used.
    pub fn used_mib(&self) -> u64 {
        let known: u64 = self.holdings.values().map(|(mib, _)| mib).sum();
        known + self.unattributed_mib
    }

    /// Returns the memory that a load may take.
    pub fn free_mib(&self) -> u64 {
        self.usable_mib.saturating_sub(self.used_mib())
    }

    /// Returns size and state of a holding.
    pub fn get(&self, holding: &Holding) -> Option<(u64, HoldingState)> {
        self.holdings.get(holding).copied()
    }

    /// Takes memory for a load, before its command is sent.
    pub fn begin_load(&mut self, holding: Holding, memory_mib: u64) -> Result<(), MemoryShort> {
        let held = self.get(&holding).map_or(0, |(mib, _)| mib);
        let free_mib = self.free_mib() + held;
        if memory_mib > free_mib {
            return Err(MemoryShort {
                needed_mib: memory_mib,
                free_mib,
            });
        }
        self.holdings
            .insert(holding, (memory_mib, HoldingState::Loading));
        Ok(())
    }

    /// Notes that the engine confirmed a load.
    pub fn confirm_load(&mut self, holding: &Holding) {
        self.set_state(holding, HoldingState::Loaded);
    }

    /// Notes that an unload is being sent; the memory stays taken.
    pub fn begin_unload(&mut self, holding: &Holding) {
        self.set_state(holding, HoldingState::Unloading);
    }

    /// Frees the memory of a holding that the engine confirmed to be absent.
    pub fn confirm_absent(&mut self, holding: &Holding) {
        self.holdings.remove(holding);
    }

    /// Notes a holding that the engine reports, whether or not it fits.
    pub fn observe(&mut self, holding: Holding, memory_mib: u64, state: HoldingState) {
        self.holdings.insert(holding, (memory_mib, state));
    }

    /// Compares with the memory that the engine reports. Memory of unknown holdings counts too.
    pub fn set_reported(&mut self, reported_mib: u64) {
        let known: u64 = self.holdings.values().map(|(mib, _)| mib).sum();
        self.unattributed_mib = reported_mib.saturating_sub(known);
    }

    /// Forgets everything, after the engine restarted.
    pub fn clear(&mut self) {
        self.holdings.clear();
        self.unattributed_mib = 0;
    }

    fn set_state(&mut self, holding: &Holding, state: HoldingState) {
        if let Some(held) = self.holdings.get_mut(holding) {
            held.1 = state;
        }
    }
}
