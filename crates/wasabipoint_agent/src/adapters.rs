//! Loads adapters on first use, within the endpoint's limit of concurrent adapter loads, and evicts
//! idle ones.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use wasabipoint_kernel::{AdapterName, ErrorKind, ModelName, Refusal};

use crate::agent::AgentContext;
use crate::endpoint::{AdapterCommand, CommandError};
use crate::memory_ledger::Allocation;
use crate::state::{AdapterEntry, AdapterState, AgentState};

/// Delay before a refused adapter load is retried, and between queries of the engine's state after
/// an adapter command that was not confirmed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of an adapter command. An adapter loads in a few milliseconds.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Keeps an adapter loaded while a request uses it.
#[derive(Debug)]
pub(crate) struct AdapterUseGuard {
    context: Arc<AgentContext>,
    adapter: AdapterName,
}

impl Drop for AdapterUseGuard {
    fn drop(&mut self) {
        let now_ms = self.context.clock.now_ms();
        if let Some(entry) = self.context.state().adapters.get_mut(&self.adapter) {
            entry.active_requests = entry.active_requests.saturating_sub(1);
            entry.last_used_ms = now_ms;
        }
        self.context.adapters_changed.notify_waiters();
    }
}

/// What a request that needs an adapter does next.
enum AdapterAction {
    Use,
    Wait,
    Load(AdapterCommand),
    Evict(AdapterName),
}

impl AgentContext {
    /// Loads an adapter if it is not loaded yet, and keeps it loaded while the returned guard
    /// exists.
    pub(crate) async fn acquire_adapter(
        self: &Arc<Self>,
        adapter: &AdapterName,
        model: &ModelName,
    ) -> Result<AdapterUseGuard, Refusal> {
        loop {
            let changed = self.adapters_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let action = {
                let mut state = self.state();
                let action = plan_adapter_action(&mut state, adapter, model)?;
                if matches!(action, AdapterAction::Use)
                    && let Some(entry) = state.adapters.get_mut(adapter)
                {
                    entry.active_requests += 1;
                }
                action
            };
            match action {
                AdapterAction::Use => {
                    return Ok(AdapterUseGuard {
                        context: Arc::clone(self),
                        adapter: adapter.clone(),
                    });
                }
                AdapterAction::Wait => changed.await,
                // The load runs in a separate task, because the request may be cancelled.
                AdapterAction::Load(command) => {
                    let context = Arc::clone(self);
                    tokio::spawn(async move { context.load_adapter(command).await });
                }
                AdapterAction::Evict(idle) => Self::evict_adapter(self, &idle).await,
            }
        }
    }

    async fn load_adapter(&self, command: AdapterCommand) {
        let pending_load = self.endpoint.load_adapter(command.clone());
        let result = tokio::time::timeout(COMMAND_TIMEOUT, pending_load).await;
        let is_loaded = match result {
            Ok(Ok(())) => true,
            Ok(Err(CommandError::Refused(detail))) => {
                warn!(self.logger, "agent: engine refused to load an adapter";
                    "adapter" => %command.adapter, "detail" => detail);
                // Waiting requests retry as soon as the adapter leaves the loading state, so it
                // stays in that state during the delay.
                tokio::time::sleep(RETRY_INTERVAL).await;
                false
            }
            _ => self.query_adapter(&command.adapter).await,
        };
        self.finish_adapter_command(&command.adapter, is_loaded);
    }

    /// Unloads an idle adapter. Does nothing if a request uses it by now.
    pub(crate) async fn evict_adapter(self: &Arc<Self>, adapter: &AdapterName) {
        {
            let mut state = self.state();
            let Some(entry) = state.adapters.get_mut(adapter) else {
                return;
            };
            if entry.state != AdapterState::Loaded || entry.active_requests > 0 {
                return;
            }
            entry.state = AdapterState::Unloading;
            state
                .memory
                .begin_unload(&Allocation::Adapter(adapter.clone()));
            state.command_epoch += 1;
        }
        info!(self.logger, "agent: evicting idle adapter"; "adapter" => %adapter);
        let context = Arc::clone(self);
        let adapter = adapter.clone();
        let eviction = tokio::spawn(async move {
            let command = AdapterCommand {
                adapter: adapter.clone(),
                model: ModelName::new(""),
                memory_mib: 0,
            };
            let pending_unload = context.endpoint.unload_adapter(command);
            let result = tokio::time::timeout(COMMAND_TIMEOUT, pending_unload).await;
            let is_still_loaded = match result {
                Ok(Ok(())) => false,
                _ => context.query_adapter(&adapter).await,
            };
            context.finish_adapter_command(&adapter, is_still_loaded);
        });
        let _ = eviction.await;
    }

    fn finish_adapter_command(&self, adapter: &AdapterName, is_loaded: bool) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state();
        let allocation = Allocation::Adapter(adapter.clone());
        if is_loaded {
            state.memory.confirm_load(&allocation);
            if let Some(entry) = state.adapters.get_mut(adapter) {
                entry.state = AdapterState::Loaded;
                entry.last_used_ms = now_ms;
            }
        } else {
            state.memory.confirm_absent(&allocation);
            state.adapters.remove(adapter);
        }
        state.command_epoch += 1;
        drop(state);
        self.adapters_changed.notify_waiters();
        self.reconcile_requested.notify_one();
    }

    /// Queries the engine until it responds. Returns whether an adapter is loaded.
    async fn query_adapter(&self, adapter: &AdapterName) -> bool {
        loop {
            if let Ok(snapshot) = self.endpoint.read_state().await {
                return snapshot.adapters.contains(adapter);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Decides the next action of a request that needs an adapter. For a load, reserves its memory and
/// marks the adapter as loading.
fn plan_adapter_action(
    state: &mut AgentState,
    adapter: &AdapterName,
    model: &ModelName,
) -> Result<AdapterAction, Refusal> {
    if !state.is_serving(model.as_str()) {
        return Err(Refusal::new(
            ErrorKind::NoEndpoint,
            format!("model {model} is not loaded at this endpoint"),
        ));
    }
    match state.adapters.get(adapter).map(|entry| entry.state) {
        Some(AdapterState::Loaded) => return Ok(AdapterAction::Use),
        Some(AdapterState::Loading | AdapterState::Unloading) => return Ok(AdapterAction::Wait),
        None => {}
    }
    let directive = state.directive.as_ref();
    let listed = directive.and_then(|directive| {
        let mut adapters = directive.adapters.iter();
        adapters.find(|(name, base_model, _)| name == adapter && base_model == model)
    });
    let Some((_, _, memory_mib)) = listed.cloned() else {
        return Err(Refusal::new(
            ErrorKind::ModelUnknown,
            format!("adapter {adapter} of model {model} is not known to this endpoint"),
        ));
    };
    let max_loading = directive.map_or(1, |directive| directive.adapters_in_transit.max(1));
    let loading = state
        .adapters
        .values()
        .filter(|entry| entry.state == AdapterState::Loading)
        .count();
    if loading >= max_loading as usize {
        return Ok(AdapterAction::Wait);
    }
    let allocation = Allocation::Adapter(adapter.clone());
    if let Err(shortage) = state.memory.begin_load(allocation, memory_mib) {
        let idle = state.idle_adapters().into_iter().next();
        return idle.map(AdapterAction::Evict).ok_or_else(|| {
            Refusal::new(
                ErrorKind::MemoryFull,
                format!(
                    "adapter {adapter} needs {} MiB and {} MiB are free",
                    shortage.needed_mib, shortage.free_mib
                ),
            )
        });
    }
    state.command_epoch += 1;
    state.adapters.insert(
        adapter.clone(),
        AdapterEntry {
            state: AdapterState::Loading,
            active_requests: 0,
            last_used_ms: 0,
        },
    );
    Ok(AdapterAction::Load(AdapterCommand {
        adapter: adapter.clone(),
        model: model.clone(),
        memory_mib,
    }))
}
