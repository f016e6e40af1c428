//! Settings of the programs, and the tables that list the accepted keys of all INI files.
//!
//! A settings file is validated as a whole before its program starts any work.

mod agent;
mod control;
mod entry;
mod form;
mod operator;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::ini_document::{IniDocument, SettingError, SettingErrors};

pub use agent::AGENT_SETTINGS;
pub use control::CONTROL_SETTINGS;
pub use entry::ENTRY_SETTINGS;
pub use form::SettingForm;
pub use operator::CLI_SETTINGS;

/// An accepted key of a section in a settings, inventory or rules file.
#[derive(Debug, Clone, Copy)]
pub struct SettingSpec {
    /// Name of the key.
    pub key: &'static str,
    /// The accepted form of the value.
    pub form: SettingForm,
    /// The default value; `None` makes the key required.
    pub default: Option<&'static str>,
    /// What the key sets, in one sentence, for the reference page.
    pub description: &'static str,
}

impl SettingSpec {
    /// Creates the specification of a required key.
    pub const fn new(key: &'static str, form: SettingForm, description: &'static str) -> Self {
        Self {
            key,
            form,
            default: None,
            description,
        }
    }

    /// Makes the key optional with a default value.
    #[must_use]
    pub const fn with_default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }
}

/// The validated values of one section, with defaults filled in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    values: BTreeMap<&'static str, String>,
}

impl Settings {
    /// Reads the section `name` from a file.
    pub fn load(
        path: &Path,
        name: &str,
        specs: &'static [SettingSpec],
    ) -> Result<Self, SettingErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            single_error(&file, 0, "file", "", &format!("cannot be read: {error}"))
        })?;
        Self::parse(&file, &text, name, specs)
    }

    /// Reads the section `name` from INI text; any other section is an error.
    pub fn parse(
        file: &str,
        text: &str,
        name: &str,
        specs: &'static [SettingSpec],
    ) -> Result<Self, SettingErrors> {
        let document = IniDocument::parse(file, text)?;
        let mut errors = SettingErrors::new();
        for section in document
            .sections
            .iter()
            .filter(|section| section.name != name)
        {
            errors.push(SettingError {
                file: file.to_owned(),
                line: section.line,
                key: format!("[{}]", section.name),
                value: String::new(),
                message: format!("unknown section, expected [{name}]"),
            });
        }
        let resolved = Self::resolve(&document, name, specs, &mut errors);
        errors.into_result(resolved)
    }

    /// Validates one section of a document and fills in defaults, adding every error to `errors`.
    pub(crate) fn resolve(
        document: &IniDocument,
        name: &str,
        specs: &'static [SettingSpec],
        errors: &mut SettingErrors,
    ) -> Self {
        let section = document.section(name);
        let line = section.map_or(0, |section| section.line);
        let entries = section.map_or(&[][..], |section| &section.entries);
        let mut push_error = |line: usize, key: &str, value: &str, message: String| {
            errors.push(SettingError {
                file: document.file.clone(),
                line,
                key: format!("[{name}] {key}"),
                value: value.to_owned(),
                message,
            });
        };
        for entry in entries {
            if !specs.iter().any(|spec| spec.key == entry.key) {
                let known: Vec<_> = specs.iter().map(|spec| spec.key).collect();
                push_error(
                    entry.line,
                    &entry.key,
                    &entry.value,
                    format!("unknown key, accepted: {}", known.join(", ")),
                );
            }
        }
        let mut values = BTreeMap::new();
        for spec in specs {
            let configured = entries.iter().find(|entry| entry.key == spec.key);
            match (configured, spec.default) {
                (Some(entry), _) if spec.form.accepts(&entry.value) => {
                    values.insert(spec.key, entry.value.clone());
                }
                (Some(entry), _) => {
                    push_error(
                        entry.line,
                        spec.key,
                        &entry.value,
                        format!("expected {}", spec.form.describe()),
                    );
                }
                (None, Some(default)) => {
                    values.insert(spec.key, default.to_owned());
                }
                (None, None) => {
                    push_error(
                        line,
                        spec.key,
                        "",
                        format!("required key is missing, expected {}", spec.form.describe()),
                    );
                }
            }
        }
        Self { values }
    }

    /// Returns a value as text, empty if the table has no such key.
    pub fn text(&self, key: &str) -> &str {
        self.values.get(key).map_or("", String::as_str)
    }

    /// Returns the items of a comma-separated list.
    pub fn list(&self, key: &str) -> Vec<&str> {
        self.text(key)
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .collect()
    }

    /// Returns an integer, which was validated when the settings were read.
    pub fn integer(&self, key: &str) -> u64 {
        self.text(key).parse().unwrap_or_default()
    }

    /// Returns a duration from a key that ends in `_ms`.
    pub fn duration_ms(&self, key: &str) -> Duration {
        Duration::from_millis(self.integer(key))
    }

    /// Returns whether a flag is `yes`.
    pub fn flag(&self, key: &str) -> bool {
        self.text(key) == "yes"
    }

    /// Returns a file or folder path.
    pub fn path(&self, key: &str) -> PathBuf {
        PathBuf::from(self.text(key))
    }

    /// Returns a socket address.
    pub fn address(&self, key: &str) -> SocketAddr {
        self.text(key)
            .parse()
            .expect("addresses are validated when settings are read")
    }

    /// Returns a list of socket addresses.
    pub fn addresses(&self, key: &str) -> Vec<SocketAddr> {
        self.list(key)
            .into_iter()
            .map(|item| {
                item.parse()
                    .expect("addresses are validated when settings are read")
            })
            .collect()
    }

    /// Returns the items of a list of `NAME=NAME`.
    pub fn name_pairs(&self, key: &str) -> Vec<(&str, &str)> {
        self.list(key)
            .into_iter()
            .filter_map(form::parse_name_pair)
            .collect()
    }

    /// Returns a decimal number, `None` if the value is empty.
    pub fn decimal(&self, key: &str) -> Option<f64> {
        self.text(key).parse().ok()
    }

    /// Returns the items of a list of `ID=IP:PORT`.
    pub fn members(&self, key: &str) -> Vec<(u64, SocketAddr)> {
        self.list(key)
            .into_iter()
            .filter_map(form::parse_member)
            .collect()
    }
}

/// Renders the reference page of all sections in Markdown.
pub fn render_reference() -> String {
    let tables = [
        ("control", "`wasabipoint-control`", CONTROL_SETTINGS),
        ("entry", "`wasabipoint-entry`", ENTRY_SETTINGS),
        ("agent", "`wasabipoint-agent`", AGENT_SETTINGS),
        ("operator", "`wasabipoint`", CLI_SETTINGS),
        ("model NAME", "inventory", crate::inventory::MODEL_KEYS),
        ("adapter NAME", "inventory", crate::inventory::ADAPTER_KEYS),
        (
            "customer NAME",
            "inventory",
            crate::inventory::CUSTOMER_KEYS,
        ),
        ("inventory", "inventory", crate::inventory::INVENTORY_KEYS),
        ("placement", "rules", crate::rules::PLACEMENT_KEYS),
        ("store", "rules", crate::rules::STORE_KEYS),
        ("routing", "rules", crate::rules::ROUTING_KEYS),
        ("admission", "rules", crate::rules::ADMISSION_KEYS),
        ("route NAME", "rules", crate::rules::ROUTE_KEYS),
    ];
    let mut page = String::from(
        "# Settings\n\nGenerated from the tables in `wasabipoint_kernel`; a test compares the two.\n",
    );
    for (section, program, specs) in tables {
        page.push_str(&render_table_header(section, program));
        for spec in specs {
            page.push_str(&render_row(spec));
        }
    }
    page
}

fn render_table_header(section: &str, program: &str) -> String {
    format!(
        "\n## [{section}], {program}\n\n| key | form | default | meaning |\n|---|---|---|---|\n"
    )
}

fn render_row(spec: &SettingSpec) -> String {
    let default = spec
        .default
        .map_or("required".to_owned(), |text| format!("`{text}`"));
    format!(
        "| `{}` | {} | {} | {} |\n",
        spec.key,
        spec.form.describe(),
        default,
        spec.description
    )
}

fn single_error(file: &str, line: usize, key: &str, value: &str, message: &str) -> SettingErrors {
    let mut errors = SettingErrors::new();
    errors.push(SettingError {
        file: file.to_owned(),
        line,
        key: key.to_owned(),
        value: value.to_owned(),
        message: message.to_owned(),
    });
    errors
}
