//! INI text with line numbers, and the errors found in it.

use std::fmt;

use ini::{Ini, ParseOption};

/// One fault in a settings, inventory or rules file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// File name, or `request` for a body.
    pub file: String,
    /// Line of the fault, counted from 1; 0 when a line is missing.
    pub line: usize,
    /// Section and key, such as `[entry] listen`.
    pub key: String,
    /// The refused value; empty when there is none.
    pub value: String,
    /// What is wrong and which form is accepted.
    pub accepted: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.key)?;
        if !self.value.is_empty() {
            write!(f, " = {:?}", self.value)?;
        }
        write!(f, ": {}", self.accepted)
    }
}

/// All faults of one file, in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SettingErrors {
    errors: Vec<SettingError>,
}

impl SettingErrors {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a fault.
    pub fn push(&mut self, error: SettingError) {
        self.errors.push(error);
    }

    /// Returns the faults.
    pub fn errors(&self) -> &[SettingError] {
        &self.errors
    }

    /// Returns `value` when there is no fault.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.errors.is_empty() {
            return Ok(value);
        }
        self.errors.sort_by_key(|error| error.line);
        Err(self)
    }
}

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.errors.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingErrors {}

/// A key with its value and line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniEntry {
    /// The key.
    pub key: String,
    /// The trimmed value.
    pub value: String,
    /// Line, counted from 1.
    pub line: usize,
}

/// A section with its entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// The section's name, such as `model stems`.
    pub name: String,
    /// Line of the header, counted from 1.
    pub line: usize,
    /// The entries in the order of the file.
    pub entries: Vec<IniEntry>,
}

impl IniSection {
    /// Returns the entry of a key.
    pub fn entry(&self, key: &str) -> Option<&IniEntry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// Splits a name such as `model stems` into its kind and its label.
    pub fn kind_and_label(&self) -> (&str, &str) {
        match self.name.split_once(char::is_whitespace) {
            Some((kind, label)) => (kind, label.trim()),
            None => (self.name.as_str(), ""),
        }
    }
}

/// A parsed INI file without duplicate sections or keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniDocument {
    /// File name used in errors.
    pub file: String,
    /// The sections in the order of the file.
    pub sections: Vec<IniSection>,
}

impl IniDocument {
    /// Parses INI text. Keys outside a section, duplicate sections, duplicate keys and a last line
    /// without a line end (a sign of truncation) are faults.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        let mut errors = SettingErrors::new();
        let fault = |line, key: &str, value: &str, accepted: &str| SettingError {
            file: file.to_owned(),
            line,
            key: key.to_owned(),
            value: value.to_owned(),
            accepted: accepted.to_owned(),
        };
        if !text.is_empty() && !text.ends_with('\n') {
            let last_line = text.lines().count();
            errors.push(fault(
                last_line,
                "end of file",
                "",
                "the last line has no line end, the file may be truncated",
            ));
        }
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let parsed = match Ini::load_from_str_opt(text, options) {
            Ok(parsed) => parsed,
            Err(error) => {
                errors.push(fault(
                    error.line,
                    "syntax",
                    "",
                    &format!("expected `[section]` or `key = value`: {}", error.msg),
                ));
                return Err(errors);
            }
        };
        let lines = LineIndex::new(text);
        let mut sections: Vec<IniSection> = Vec::new();
        for (position, (name, properties)) in parsed.iter().enumerate() {
            let Some(name) = name else {
                if let Some((key, value)) = properties.iter().next() {
                    errors.push(fault(
                        1,
                        key,
                        value,
                        "a key must stand below a section header",
                    ));
                }
                continue;
            };
            // The general section comes first even when it is empty.
            let (header_line, key_lines) = lines.section(position.saturating_sub(1));
            if sections.iter().any(|section| section.name == name) {
                errors.push(fault(
                    header_line,
                    &format!("[{name}]"),
                    "",
                    "the section stands more than once",
                ));
                continue;
            }
            let mut section = IniSection {
                name: name.to_owned(),
                line: header_line,
                entries: Vec::new(),
            };
            for (index, (key, value)) in properties.iter().enumerate() {
                let line = key_lines.get(index).copied().unwrap_or(header_line);
                if section.entry(key).is_some() {
                    errors.push(fault(
                        line,
                        &format!("[{name}] {key}"),
                        value,
                        "the key stands more than once",
                    ));
                    continue;
                }
                section.entries.push(IniEntry {
                    key: key.to_owned(),
                    value: value.trim().to_owned(),
                    line,
                });
            }
            sections.push(section);
        }
        errors.into_result(Self {
            file: file.to_owned(),
            sections,
        })
    }

    /// Returns the section of a name.
    pub fn section(&self, name: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.name == name)
    }
}

/// Lines of headers and keys, in the order of the file; the INI library reports none.
struct LineIndex {
    sections: Vec<(usize, Vec<usize>)>,
}

impl LineIndex {
    fn new(text: &str) -> Self {
        let mut sections: Vec<(usize, Vec<usize>)> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim_start();
            if line.is_empty() || line.starts_with([';', '#']) {
                continue;
            }
            if line.starts_with('[') {
                sections.push((index + 1, Vec::new()));
            } else if let Some((_, keys)) = sections.last_mut() {
                keys.push(index + 1);
            }
        }
        Self { sections }
    }

    fn section(&self, position: usize) -> (usize, &[usize]) {
        self.sections
            .get(position)
            .map_or((0, &[]), |(line, keys)| (*line, keys.as_slice()))
    }
}
