//! Models and adapters in the bounded memory of the fake engine, and the history of their changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A command to load or unload a model.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ModelCommand {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) version: u64,
    #[serde(default)]
    pub(crate) memory_mib: u64,
    #[serde(default)]
    pub(crate) fencing_token: u64,
}

/// A command to load or unload an adapter.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct AdapterCommand {
    pub(crate) adapter: String,
    #[serde(default)]
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) memory_mib: u64,
}

/// Kind of an event in the engine's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryKind {
    /// A load was accepted and its memory is reserved.
    LoadStarted,
    /// The load has finished and the model serves requests.
    Loaded,
    /// The model was unloaded, or its load failed.
    Unloaded,
    /// The engine exited and lost its models and adapters.
    Exited,
    /// A command was refused because its fencing token is stale.
    Fenced,
    /// A command was refused because of insufficient memory.
    MemoryShort,
}

/// An event in the engine's history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryEvent {
    /// What happened.
    pub kind: HistoryKind,
    /// The model, or the adapter whose load was refused; empty for `Exited`.
    pub model: String,
    /// Fencing token of the command; 0 without one.
    pub fencing_token: u64,
    /// Memory in use after the event, in MiB.
    pub memory_used_mib: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ModelState {
    Loading,
    Loaded,
}

#[derive(Debug)]
struct Model {
    version: u64,
    memory_mib: u64,
    fencing_token: u64,
    state: ModelState,
}

#[derive(Debug)]
struct Adapter {
    model: String,
    memory_mib: u64,
}

/// Result of starting a load.
pub(crate) enum LoadStart {
    Started,
    AlreadyLoaded,
    /// Status and body of the refusal.
    Refused(u16, Value),
}

/// Content of the engine's memory, with the history of its changes.
#[derive(Debug)]
pub(crate) struct EngineMemory {
    /// Id of the running engine, which changes with each restart.
    pub(crate) instance: u64,
    capacity_mib: u64,
    is_fencing_checked: bool,
    peak_mib: u64,
    models: BTreeMap<String, Model>,
    adapters: BTreeMap<String, Adapter>,
    /// Highest fencing token seen for each model.
    highest_tokens: BTreeMap<String, u64>,
    history: Vec<HistoryEvent>,
}

impl EngineMemory {
    pub(crate) fn new(capacity_mib: u64, is_fencing_checked: bool) -> Self {
        Self {
            instance: rand::random::<u32>().into(),
            capacity_mib,
            is_fencing_checked,
            peak_mib: 0,
            models: BTreeMap::new(),
            adapters: BTreeMap::new(),
            highest_tokens: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    fn used_mib(&self) -> u64 {
        let models: u64 = self.models.values().map(|model| model.memory_mib).sum();
        let adapters: u64 = self
            .adapters
            .values()
            .map(|adapter| adapter.memory_mib)
            .sum();
        models + adapters
    }

    fn record(&mut self, kind: HistoryKind, model: &str, fencing_token: u64) {
        let memory_used_mib = self.used_mib();
        self.peak_mib = self.peak_mib.max(memory_used_mib);
        self.history.push(HistoryEvent {
            kind,
            model: model.to_owned(),
            fencing_token,
            memory_used_mib,
        });
    }

    /// Refuses a command whose fencing token is lower than one seen before for the same model,
    /// unless stale tokens are ignored.
    fn check_fencing(&mut self, command: &ModelCommand) -> Option<LoadStart> {
        let highest = self
            .highest_tokens
            .entry(command.model.clone())
            .or_default();
        if command.fencing_token < *highest && self.is_fencing_checked {
            let body = json!({"error": "stale_fencing_token", "highest": *highest});
            self.record(HistoryKind::Fenced, &command.model, command.fencing_token);
            return Some(LoadStart::Refused(409, body));
        }
        *highest = (*highest).max(command.fencing_token);
        None
    }

    fn refuse_for_memory(&mut self, name: &str, fencing_token: u64) -> LoadStart {
        self.record(HistoryKind::MemoryShort, name, fencing_token);
        LoadStart::Refused(507, json!({"error": "memory_short"}))
    }

    pub(crate) fn start_load(&mut self, command: &ModelCommand) -> LoadStart {
        if let Some(refusal) = self.check_fencing(command) {
            return refusal;
        }
        if let Some(model) = self.models.get_mut(&command.model) {
            if model.version != command.version || model.state == ModelState::Loading {
                return LoadStart::Refused(409, json!({"error": "model_busy"}));
            }
            model.fencing_token = command.fencing_token;
            return LoadStart::AlreadyLoaded;
        }
        if self.used_mib() + command.memory_mib > self.capacity_mib {
            return self.refuse_for_memory(&command.model, command.fencing_token);
        }
        self.models.insert(
            command.model.clone(),
            Model {
                version: command.version,
                memory_mib: command.memory_mib,
                fencing_token: command.fencing_token,
                state: ModelState::Loading,
            },
        );
        self.record(
            HistoryKind::LoadStarted,
            &command.model,
            command.fencing_token,
        );
        LoadStart::Started
    }

    /// Finishes a load that was started with `start_load`, and frees its memory if it failed.
    pub(crate) fn finish_load(&mut self, command: &ModelCommand, is_successful: bool) {
        if is_successful {
            if let Some(model) = self.models.get_mut(&command.model) {
                model.state = ModelState::Loaded;
            }
            self.record(HistoryKind::Loaded, &command.model, command.fencing_token);
        } else {
            self.models.remove(&command.model);
            self.record(HistoryKind::Unloaded, &command.model, command.fencing_token);
        }
    }

    pub(crate) fn unload(&mut self, command: &ModelCommand) -> (u16, Value) {
        if let Some(LoadStart::Refused(status, body)) = self.check_fencing(command) {
            return (status, body);
        }
        if self
            .models
            .get(&command.model)
            .is_some_and(|model| model.state == ModelState::Loading)
        {
            return (409, json!({"error": "model_busy"}));
        }
        if self.models.remove(&command.model).is_some() {
            self.adapters
                .retain(|_, adapter| adapter.model != command.model);
            self.record(HistoryKind::Unloaded, &command.model, command.fencing_token);
        }
        (200, json!({}))
    }

    pub(crate) fn load_adapter(&mut self, command: &AdapterCommand) -> (u16, Value) {
        if !self.is_loaded(&command.model) {
            return (404, json!({"error": "model_not_loaded"}));
        }
        if self.adapters.contains_key(&command.adapter) {
            return (200, json!({}));
        }
        if self.used_mib() + command.memory_mib > self.capacity_mib {
            self.refuse_for_memory(&command.adapter, 0);
            return (507, json!({"error": "memory_short"}));
        }
        self.adapters.insert(
            command.adapter.clone(),
            Adapter {
                model: command.model.clone(),
                memory_mib: command.memory_mib,
            },
        );
        self.peak_mib = self.peak_mib.max(self.used_mib());
        (200, json!({}))
    }

    pub(crate) fn unload_adapter(&mut self, command: &AdapterCommand) -> (u16, Value) {
        self.adapters.remove(&command.adapter);
        (200, json!({}))
    }

    pub(crate) fn is_loaded(&self, model: &str) -> bool {
        self.models
            .get(model)
            .is_some_and(|model| model.state == ModelState::Loaded)
    }

    pub(crate) fn has_adapter(&self, model: &str, adapter: &str) -> bool {
        self.adapters
            .get(adapter)
            .is_some_and(|loaded| loaded.model == model)
    }

    /// Clears models, adapters and fencing tokens and changes the instance id, as a restart of the
    /// process would. History and peak memory are kept.
    pub(crate) fn restart(&mut self) {
        self.models.clear();
        self.adapters.clear();
        self.highest_tokens.clear();
        self.instance += 1;
        self.record(HistoryKind::Exited, "", 0);
    }

    pub(crate) fn history(&self) -> &[HistoryEvent] {
        &self.history
    }

    pub(crate) fn to_json(&self) -> Value {
        let models: Vec<_> = self
            .models
            .iter()
            .map(|(name, model)| {
                let state = match model.state {
                    ModelState::Loading => "loading",
                    ModelState::Loaded => "loaded",
                };
                json!({
                    "model": name, "version": model.version, "state": state,
                    "fencing_token": model.fencing_token, "memory_mib": model.memory_mib,
                })
            })
            .collect();
        json!({
            "instance": self.instance.to_string(),
            "memory_mib": self.capacity_mib,
            "memory_used_mib": self.used_mib(),
            "peak_memory_mib": self.peak_mib,
            "models": models,
            "adapters": self.adapters.keys().collect::<Vec<_>>(),
        })
    }
}
