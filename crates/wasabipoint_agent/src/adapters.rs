//! Adapters: loaded on first use within the transit share, evicted when idle.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use wasabipoint_kernel::{AdapterName, ErrorKind, ModelName, Refusal};

use crate::agent::Core;
use crate::endpoint::{AdapterCommand, CommandError};
use crate::memory_ledger::Holding;
use crate::state::{AdapterEntry, AdapterState, AgentState};

/// Pause before an adapter is tried again, and between questions about an adapter whose command
/// was not answered.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Time in which an adapter command must be answered. An adapter loads in a few milliseconds.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Holds an adapter in the engine while a request uses it.
#[derive(Debug)]
pub(crate) struct AdapterUse {
    core: Arc<Core>,
    adapter: AdapterName,
}

impl Drop for AdapterUse {
    fn drop(&mut self) {
        let now_ms = self.core.clock.now_ms();
        if let Some(entry) = self.core.state().adapters.get_mut(&self.adapter) {
            entry.in_use = entry.in_use.saturating_sub(1);
            entry.last_used_ms = now_ms;
        }
        self.core.adapters_changed.notify_waiters();
    }
}

enum Next {
    Use,
    Wait,
    Load(AdapterCommand),
    Evict(AdapterName),
}

impl Core {
    /// Waits until an adapter is loaded.
    pub(crate) async fn use_adapter(
        self: &Arc<Self>,
        adapter: &AdapterName,
        model: &ModelName,
    ) -> Result<AdapterUse, Refusal> {
        loop {
            let changed = self.adapters_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let next = {
                let mut state = self.state();
                let next = decide(&mut state, adapter, model)?;
                if matches!(next, Next::Use)
                    && let Some(entry) = state.adapters.get_mut(adapter)
                {
                    entry.in_use += 1;
                }
                next
            };
            match next {
                Next::Use => {
                    return Ok(AdapterUse {
                        core: Arc::clone(self),
                        adapter: adapter.clone(),
                    });
                }
                Next::Wait => changed.await,
                // The load has a task of its own, since the request may be cancelled.
                Next::Load(command) => {
                    let core = Arc::clone(self);
                    tokio::spawn(async move { core.load_adapter(command).await });
                }
                Next::Evict(idle) => Self::evict_adapter(self, &idle).await,
            }
        }
    }

    async fn load_adapter(&self, command: AdapterCommand) {
        let answer = self.endpoint.load_adapter(command.clone());
        let answer = tokio::time::timeout(COMMAND_TIMEOUT, answer).await;
        let is_loaded = match answer {
            Ok(Ok(())) => true,
            Ok(Err(CommandError::Refused(detail))) => {
                warn!(self.logger, "agent: the engine refused an adapter";
                    "adapter" => %command.adapter, "detail" => detail);
                // Waiting requests try again at once when the adapter is settled.
                tokio::time::sleep(ASK_INTERVAL).await;
                false
            }
            _ => self.ask_for_adapter(&command.adapter).await,
        };
        self.settle_adapter(&command.adapter, is_loaded);
    }

    /// Unloads an idle adapter; nothing happens when it is in use by now.
    pub(crate) async fn evict_adapter(self: &Arc<Self>, adapter: &AdapterName) {
        {
            let mut state = self.state();
            let Some(entry) = state.adapters.get_mut(adapter) else {
                return;
            };
            if entry.state != AdapterState::Loaded || entry.in_use > 0 {
                return;
            }
            entry.state = AdapterState::Unloading;
            state
                .memory
                .begin_unload(&Holding::Adapter(adapter.clone()));
            state.command_epoch += 1;
        }
        info!(self.logger, "agent: evicting an idle adapter"; "adapter" => %adapter);
        let core = Arc::clone(self);
        let adapter = adapter.clone();
        let eviction = tokio::spawn(async move {
            let command = AdapterCommand {
                adapter: adapter.clone(),
                model: ModelName::new(""),
                memory_mib: 0,
            };
            let answer = core.endpoint.unload_adapter(command);
            let answer = tokio::time::timeout(COMMAND_TIMEOUT, answer).await;
            let is_held = match answer {
                Ok(Ok(())) => false,
                _ => core.ask_for_adapter(&adapter).await,
            };
            core.settle_adapter(&adapter, is_held);
        });
        let _ = eviction.await;
    }

    fn settle_adapter(&self, adapter: &AdapterName, is_held: bool) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state();
        let holding = Holding::Adapter(adapter.clone());
        if is_held {
            state.memory.confirm_load(&holding);
            if let Some(entry) = state.adapters.get_mut(adapter) {
                entry.state = AdapterState::Loaded;
                entry.last_used_ms = now_ms;
            }
        } else {
            state.memory.confirm_absent(&holding);
            state.adapters.remove(adapter);
        }
        state.command_epoch += 1;
        drop(state);
        self.adapters_changed.notify_waiters();
        self.reconcile_wake.notify_one();
    }

    async fn ask_for_adapter(&self, adapter: &AdapterName) -> bool {
        loop {
            if let Ok(snapshot) = self.endpoint.read_state().await {
                return snapshot.adapters.contains(adapter);
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }
}

fn decide(
    state: &mut AgentState,
    adapter: &AdapterName,
    model: &ModelName,
) -> Result<Next, Refusal> {
    if !state.is_serving(model.as_str()) {
        return Err(Refusal::new(
            ErrorKind::NoEndpoint,
            format!("model {model} is not loaded at this endpoint"),
        ));
    }
    match state.adapters.get(adapter).map(|entry| entry.state) {
        Some(AdapterState::Loaded) => return Ok(Next::Use),
        Some(AdapterState::Loading | AdapterState::Unloading) => return Ok(Next::Wait),
        None => {}
    }
    let directive = state.directive.as_ref();
    let listed = directive.and_then(|directive| {
        let mut adapters = directive.adapters.iter();
        adapters.find(|(name, of, _)| name == adapter && of == model)
    });
    let Some((_, _, memory_mib)) = listed.cloned() else {
        return Err(Refusal::new(
            ErrorKind::ModelUnknown,
            format!("adapter {adapter} of model {model} is not known to this endpoint"),
        ));
    };
    let share = directive.map_or(1, |directive| directive.adapters_in_transit.max(1));
    let in_transit = state
        .adapters
        .values()
        .filter(|entry| entry.state == AdapterState::Loading)
        .count();
    if in_transit >= share as usize {
        return Ok(Next::Wait);
    }
    let holding = Holding::Adapter(adapter.clone());
    if let Err(short) = state.memory.begin_load(holding, memory_mib) {
        let idle = state.idle_adapters().into_iter().next();
        return idle.map(Next::Evict).ok_or_else(|| {
            Refusal::new(
                ErrorKind::MemoryFull,
                format!(
                    "adapter {adapter} needs {} MiB and {} MiB are free",
                    short.needed_mib, short.free_mib
                ),
            )
        });
    }
    state.command_epoch += 1;
    state.adapters.insert(
        adapter.clone(),
        AdapterEntry {
            state: AdapterState::Loading,
            in_use: 0,
            last_used_ms: 0,
        },
    );
    Ok(Next::Load(AdapterCommand {
        adapter: adapter.clone(),
        model: model.clone(),
        memory_mib,
    }))
}
