//! The inventory set by operators: models, adapters and customers.
//!
//! No key has a default, so that a truncated file is always rejected: a file without its last lines
//! lacks a required key or has fewer sections than it declares.

use std::collections::BTreeMap;

use crate::id::{AdapterName, CustomerId, ModelName};
use crate::ini_document::{IniDocument, IniSection, SettingError, SettingErrors};
use crate::plain_data;
use crate::settings::{SettingForm, SettingSpec, Settings};

/// Keys of `[inventory]`: section counts, which reveal a truncated file.
pub(crate) const INVENTORY_KEYS: &[SettingSpec] = &[
    SettingSpec::new(
        "models",
        SettingForm::Integer {
            min: 0,
            max: 100_000,
        },
        "Number of model sections in the file.",
    ),
    SettingSpec::new(
        "adapters",
        SettingForm::Integer {
            min: 0,
            max: 100_000,
        },
        "Number of adapter sections in the file.",
    ),
    SettingSpec::new(
        "customers",
        SettingForm::Integer {
            min: 0,
            max: 100_000,
        },
        "Number of customer sections in the file.",
    ),
];

/// Keys of `[model NAME]`.
pub(crate) const MODEL_KEYS: &[SettingSpec] = &[
    SettingSpec::new(
        "version",
        SettingForm::Integer {
            min: 1,
            max: u64::MAX,
        },
        "Version of the checkpoint.",
    ),
    SettingSpec::new(
        "memory_mib",
        SettingForm::Integer {
            min: 1,
            max: 16_777_216,
        },
        "Accelerator memory of a loaded replica in MiB, excluding the KV cache.",
    ),
    SettingSpec::new(
        "max_replicas",
        SettingForm::Integer { min: 1, max: 1_000 },
        "Maximum number of replicas granted at the same time, not counting replaced ones.",
    ),
    SettingSpec::new(
        "max_answer_tokens",
        SettingForm::Integer {
            min: 1,
            max: 1_000_000,
        },
        "Maximum completion length in tokens; also the default for requests that set none.",
    ),
];

/// Keys of `[adapter NAME]`.
pub(crate) const ADAPTER_KEYS: &[SettingSpec] = &[
    SettingSpec::new(
        "model",
        SettingForm::Name,
        "Model that the adapter belongs to.",
    ),
    SettingSpec::new(
        "version",
        SettingForm::Integer {
            min: 1,
            max: u64::MAX,
        },
        "Version of the adapter.",
    ),
    SettingSpec::new(
        "memory_mib",
        SettingForm::Integer {
            min: 1,
            max: 16_777_216,
        },
        "Accelerator memory of the loaded adapter in MiB.",
    ),
];

/// Keys of `[customer NAME]`.
pub(crate) const CUSTOMER_KEYS: &[SettingSpec] = &[
    SettingSpec::new(
        "rate_tokens_per_s",
        SettingForm::Integer {
            min: 1,
            max: 1_000_000_000,
        },
        "Rate limit in tokens per second, across the whole fleet.",
    ),
    SettingSpec::new(
        "burst_tokens",
        SettingForm::Integer {
            min: 1,
            max: 1_000_000_000,
        },
        "Maximum number of tokens that may be used at once after an idle period.",
    ),
    SettingSpec::new(
        "models",
        SettingForm::Names,
        "Models and adapters that the customer may use.",
    ),
    SettingSpec::new(
        "routes",
        SettingForm::Names,
        "Routes to plain services that the customer may use.",
    ),
    SettingSpec::new(
        "priority",
        SettingForm::Integer { min: 0, max: 9 },
        "Priority passed to engines; requests with a larger value are served first.",
    ),
];

plain_data! {
    data
    /// A model that engines can load.
    pub struct Model {
        /// Name used in requests.
        pub name: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// Accelerator memory of a loaded replica, excluding the KV cache.
        pub memory_mib: u64,
        /// Maximum number of replicas granted at the same time, not counting replaced ones.
        pub max_replicas: u32,
        /// Maximum completion length; also the default for requests that set none.
        pub max_answer_tokens: u64,
    }
}

plain_data! {
    data
    /// An adapter of a model. Requests use its name in place of the model's.
    pub struct Adapter {
        /// Name used in requests.
        pub name: AdapterName,
        /// Model that the adapter belongs to.
        pub model: ModelName,
        /// Version of the adapter.
        pub version: u64,
        /// Accelerator memory when loaded.
        pub memory_mib: u64,
    }
}

plain_data! {
    data
    /// A customer with its rate limit and permissions.
    pub struct Customer {
        /// Name of the customer.
        pub id: CustomerId,
        /// Rate limit in tokens per second, across the whole fleet.
        pub rate_tokens_per_s: u64,
        /// Maximum number of tokens that may be used at once after an idle period.
        pub burst_tokens: u64,
        /// Names of models and adapters that the customer may use.
        pub models: Vec<String>,
        /// Names of routes to plain services that the customer may use.
        pub routes: Vec<String>,
        /// Priority passed to engines; requests with a larger value are served first.
        pub priority: u8,
    }
}

plain_data! {
    data
    /// The contents of an inventory file.
    #[derive(Default)]
    pub struct Inventory {
        /// Models by name.
        pub models: BTreeMap<ModelName, Model>,
        /// Adapters by name.
        pub adapters: BTreeMap<AdapterName, Adapter>,
        /// Customers by name.
        pub customers: BTreeMap<CustomerId, Customer>,
    }
}

plain_data! {
    data
    /// One change to an inventory.
    pub enum InventoryChange {
        /// A model was added or changed.
        PutModel(Model),
        /// A model was removed.
        RemoveModel(ModelName),
        /// An adapter was added or changed.
        PutAdapter(Adapter),
        /// An adapter was removed.
        RemoveAdapter(AdapterName),
        /// A customer was added or changed.
        PutCustomer(Customer),
        /// A customer was removed.
        RemoveCustomer(CustomerId),
    }
}

impl Inventory {
    /// Parses and validates an inventory file.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        let document = IniDocument::parse(file, text)?;
        let mut errors = SettingErrors::new();
        let counts = Settings::resolve(&document, "inventory", INVENTORY_KEYS, &mut errors);
        let mut inventory = Self::default();
        for section in document
            .sections
            .iter()
            .filter(|section| section.name != "inventory")
        {
            inventory.read_section(&document, section, &mut errors);
        }
        inventory.check_counts(&document, &counts, &mut errors);
        inventory.check_references(&document, &mut errors);
        errors.into_result(inventory)
    }

    fn read_section(
        &mut self,
        document: &IniDocument,
        section: &IniSection,
        errors: &mut SettingErrors,
    ) {
        let (kind, label) = section.kind_and_label();
        if !matches!(kind, "model" | "adapter" | "customer") || !SettingForm::Name.accepts(label) {
            errors.push(section_error(
                document,
                section,
                "expected [inventory], [model NAME], [adapter NAME] or [customer NAME]",
            ));
            return;
        }
        match kind {
            "model" => {
                let values = Settings::resolve(document, &section.name, MODEL_KEYS, errors);
                let name = ModelName::new(label);
                self.models.insert(
                    name.clone(),
                    Model {
                        name,
                        version: values.integer("version"),
                        memory_mib: values.integer("memory_mib"),
                        max_replicas: values.integer("max_replicas") as u32,
                        max_answer_tokens: values.integer("max_answer_tokens"),
                    },
                );
            }
            "adapter" => {
                let values = Settings::resolve(document, &section.name, ADAPTER_KEYS, errors);
                let name = AdapterName::new(label);
                self.adapters.insert(
                    name.clone(),
                    Adapter {
                        name,
                        model: ModelName::new(values.text("model")),
                        version: values.integer("version"),
                        memory_mib: values.integer("memory_mib"),
                    },
                );
            }
            _ => {
                let values = Settings::resolve(document, &section.name, CUSTOMER_KEYS, errors);
                let id = CustomerId::new(label);
                self.customers.insert(
                    id.clone(),
                    Customer {
                        id,
                        rate_tokens_per_s: values.integer("rate_tokens_per_s"),
                        burst_tokens: values.integer("burst_tokens"),
                        models: values
                            .list("models")
                            .into_iter()
                            .map(str::to_owned)
                            .collect(),
                        routes: values
                            .list("routes")
                            .into_iter()
                            .map(str::to_owned)
                            .collect(),
                        priority: values.integer("priority") as u8,
                    },
                );
            }
        }
    }

    fn check_counts(&self, document: &IniDocument, counts: &Settings, errors: &mut SettingErrors) {
        let found = [
            ("models", self.models.len()),
            ("adapters", self.adapters.len()),
            ("customers", self.customers.len()),
        ];
        for (key, count) in found {
            let declared = counts.text(key);
            if !declared.is_empty() && counts.integer(key) != count as u64 {
                let section = document.section("inventory");
                errors.push(SettingError {
                    file: document.file.clone(),
                    line: section
                        .and_then(|s| s.entry(key))
                        .map_or(0, |entry| entry.line),
                    key: format!("[inventory] {key}"),
                    value: declared.to_owned(),
                    message: format!("the file holds {count}; it may be truncated"),
                });
            }
        }
    }

    fn check_references(&self, document: &IniDocument, errors: &mut SettingErrors) {
        for adapter in self.adapters.values() {
            if !self.models.contains_key(&adapter.model) {
                errors.push(value_error(
                    document,
                    &format!("adapter {}", adapter.name),
                    "model",
                    adapter.model.as_str(),
                    "expected a model of this inventory",
                ));
            }
            if self.models.contains_key(adapter.name.as_str()) {
                errors.push(value_error(
                    document,
                    &format!("adapter {}", adapter.name),
                    "model",
                    adapter.model.as_str(),
                    "a model has the adapter's name",
                ));
            }
        }
        for customer in self.customers.values() {
            for name in &customer.models {
                if !self.models.contains_key(name.as_str())
                    && !self.adapters.contains_key(name.as_str())
                {
                    errors.push(value_error(
                        document,
                        &format!("customer {}", customer.id),
                        "models",
                        name,
                        "expected models and adapters of this inventory",
                    ));
                }
            }
        }
    }

    /// Returns the changes that turn `self` into `next`.
    pub fn changes_to(&self, next: &Self) -> Vec<InventoryChange> {
        let mut changes = Vec::new();
        diff_maps(
            &self.models,
            &next.models,
            InventoryChange::PutModel,
            InventoryChange::RemoveModel,
            &mut changes,
        );
        diff_maps(
            &self.adapters,
            &next.adapters,
            InventoryChange::PutAdapter,
            InventoryChange::RemoveAdapter,
            &mut changes,
        );
        diff_maps(
            &self.customers,
            &next.customers,
            InventoryChange::PutCustomer,
            InventoryChange::RemoveCustomer,
            &mut changes,
        );
        changes
    }

    /// Applies one change.
    pub fn apply(&mut self, change: &InventoryChange) {
        match change {
            InventoryChange::PutModel(model) => {
                self.models.insert(model.name.clone(), model.clone());
            }
            InventoryChange::RemoveModel(name) => {
                self.models.remove(name);
            }
            InventoryChange::PutAdapter(adapter) => {
                self.adapters.insert(adapter.name.clone(), adapter.clone());
            }
            InventoryChange::RemoveAdapter(name) => {
                self.adapters.remove(name);
            }
            InventoryChange::PutCustomer(customer) => {
                self.customers.insert(customer.id.clone(), customer.clone());
            }
            InventoryChange::RemoveCustomer(id) => {
                self.customers.remove(id);
            }
        }
    }

    /// Resolves the model name of a request to a model and, if it names an adapter, the adapter.
    pub fn resolve(&self, name: &str) -> Option<(&Model, Option<&Adapter>)> {
        if let Some(model) = self.models.get(name) {
            return Some((model, None));
        }
        let adapter = self.adapters.get(name)?;
        self.models
            .get(&adapter.model)
            .map(|model| (model, Some(adapter)))
    }
}

fn diff_maps<K: Ord + Clone, V: PartialEq + Clone>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    put: fn(V) -> InventoryChange,
    remove: fn(K) -> InventoryChange,
    changes: &mut Vec<InventoryChange>,
) {
    changes.extend(
        old.keys()
            .filter(|key| !new.contains_key(*key))
            .cloned()
            .map(remove),
    );
    let differing = new
        .iter()
        .filter(|(key, value)| old.get(*key) != Some(*value));
    changes.extend(differing.map(|(_, value)| put(value.clone())));
}

fn section_error(document: &IniDocument, section: &IniSection, message: &str) -> SettingError {
    SettingError {
        file: document.file.clone(),
        line: section.line,
        key: format!("[{}]", section.name),
        value: String::new(),
        message: message.to_owned(),
    }
}

pub(crate) fn value_error(
    document: &IniDocument,
    section: &str,
    key: &str,
    value: &str,
    message: &str,
) -> SettingError {
    let line = document
        .section(section)
        .and_then(|s| s.entry(key))
        .map_or(0, |entry| entry.line);
    SettingError {
        file: document.file.clone(),
        line,
        key: format!("[{section}] {key}"),
        value: value.to_owned(),
        message: message.to_owned(),
    }
}
