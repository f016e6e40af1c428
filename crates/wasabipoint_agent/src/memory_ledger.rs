//! The memory ledger: tracks the memory of replicas and adapters that are, or may be, on the
//! endpoint.

use std::collections::BTreeMap;

use wasabipoint_kernel::{AdapterName, ModelName};

/// The replica or adapter that occupies memory.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Allocation {
    /// A replica of a model.
    Replica(ModelName),
    /// An adapter.
    Adapter(AdapterName),
}

/// State of an allocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllocationState {
    /// A load was sent and is not confirmed.
    Loading,
    /// The engine confirmed the load.
    Loaded,
    /// An unload was sent and is not confirmed.
    Unloading,
}

/// The free memory does not suffice for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InsufficientMemory {
    /// Memory that the load needs.
    pub needed_mib: u64,
    /// Memory that is available to the load.
    pub free_mib: u64,
}

/// Tracks loading, loaded and unloading allocations. An allocation counts from before its load is
/// sent until the engine confirms its absence.
#[derive(Debug, Clone)]
pub struct MemoryLedger {
    usable_mib: u64,
    allocations: BTreeMap<Allocation, (u64, AllocationState)>,
    // Memory that the engine reports in excess of the tracked allocations.
    unattributed_mib: u64,
}

impl MemoryLedger {
    /// Creates an empty ledger for an endpoint's memory, part of which is reserved for the KV
    /// cache.
    pub fn new(memory_mib: u64, kv_reserve_mib: u64) -> Self {
        Self {
            usable_mib: memory_mib.saturating_sub(kv_reserve_mib),
            allocations: BTreeMap::new(),
            unattributed_mib: 0,
        }
    }

    /// Returns the total memory for allocations, without the KV cache reserve.
    pub fn usable_mib(&self) -> u64 {
        self.usable_mib
    }

    /// Returns the used memory, including unattributed memory.
    pub fn used_mib(&self) -> u64 {
        let tracked_mib: u64 = self.allocations.values().map(|(mib, _)| mib).sum();
        tracked_mib + self.unattributed_mib
    }

    /// Returns the memory that is available to a new load.
    pub fn free_mib(&self) -> u64 {
        self.usable_mib.saturating_sub(self.used_mib())
    }

    /// Returns the size and state of an allocation.
    pub fn get(&self, allocation: &Allocation) -> Option<(u64, AllocationState)> {
        self.allocations.get(allocation).copied()
    }

    /// Reserves memory for a load before its command is sent.
    pub fn begin_load(
        &mut self,
        allocation: Allocation,
        memory_mib: u64,
    ) -> Result<(), InsufficientMemory> {
        let current_mib = self.get(&allocation).map_or(0, |(mib, _)| mib);
        let free_mib = self.free_mib() + current_mib;
        if memory_mib > free_mib {
            return Err(InsufficientMemory {
                needed_mib: memory_mib,
                free_mib,
            });
        }
        self.allocations
            .insert(allocation, (memory_mib, AllocationState::Loading));
        Ok(())
    }

    /// Records that the engine confirmed a load.
    pub fn confirm_load(&mut self, allocation: &Allocation) {
        self.set_state(allocation, AllocationState::Loaded);
    }

    /// Records that an unload is being sent. The memory stays allocated until the engine confirms
    /// the unload.
    pub fn begin_unload(&mut self, allocation: &Allocation) {
        self.set_state(allocation, AllocationState::Unloading);
    }

    /// Frees the memory of an allocation whose absence the engine confirmed.
    pub fn confirm_absent(&mut self, allocation: &Allocation) {
        self.allocations.remove(allocation);
    }

    /// Records an allocation that the engine reports, even if it exceeds the usable memory.
    pub fn record_reported(
        &mut self,
        allocation: Allocation,
        memory_mib: u64,
        state: AllocationState,
    ) {
        self.allocations.insert(allocation, (memory_mib, state));
    }

    /// Sets the used memory that the engine reports. Memory beyond the tracked allocations counts
    /// as unattributed.
    pub fn set_reported_usage(&mut self, reported_mib: u64) {
        let tracked_mib: u64 = self.allocations.values().map(|(mib, _)| mib).sum();
        self.unattributed_mib = reported_mib.saturating_sub(tracked_mib);
    }

    /// Removes all allocations, after the engine has restarted.
    pub fn clear(&mut self) {
        self.allocations.clear();
        self.unattributed_mib = 0;
    }

    fn set_state(&mut self, allocation: &Allocation, state: AllocationState) {
        if let Some(entry) = self.allocations.get_mut(allocation) {
            entry.1 = state;
        }
    }
}
