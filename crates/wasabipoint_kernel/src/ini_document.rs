//! An INI parser that keeps line numbers, and the errors it reports.

use std::fmt;

use ini::{Ini, ParseOption};

/// One error in a settings, inventory or rules file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// File name, or `request` for a request body.
    pub file: String,
    /// Line number from 1; 0 when the error belongs to no line.
    pub line: usize,
    /// Section and key, such as `[entry] listen`.
    pub key: String,
    /// The rejected value; empty when there is none.
    pub value: String,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.key)?;
        if !self.value.is_empty() {
            write!(f, " = {:?}", self.value)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// The errors found in one file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SettingErrors {
    errors: Vec<SettingError>,
}

impl SettingErrors {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an error.
    pub fn push(&mut self, error: SettingError) {
        self.errors.push(error);
    }

    /// Returns the errors.
    pub fn errors(&self) -> &[SettingError] {
        &self.errors
    }

    /// Returns `value` if there are no errors, and otherwise the errors sorted by line.
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

/// A key with its value and line number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniEntry {
    /// Name of the key.
    pub key: String,
    /// The trimmed value.
    pub value: String,
    /// Line number, from 1.
    pub line: usize,
}

/// A section with its entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// The section's name, such as `model stems`.
    pub name: String,
    /// Line number of the header, from 1.
    pub line: usize,
    /// The entries in file order.
    pub entries: Vec<IniEntry>,
}

impl IniSection {
    /// Returns the entry with a key.
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
    /// The sections in file order.
    pub sections: Vec<IniSection>,
}

impl IniDocument {
    /// Parses INI text. Keys outside a section, duplicate sections, duplicate keys and a last line
    /// without a newline, which indicates truncation, are errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        let mut errors = SettingErrors::new();
        let setting_error = |line, key: &str, value: &str, message: &str| SettingError {
            file: file.to_owned(),
            line,
            key: key.to_owned(),
            value: value.to_owned(),
            message: message.to_owned(),
        };
        if !text.is_empty() && !text.ends_with('\n') {
            let last_line = text.lines().count();
            errors.push(setting_error(
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
                errors.push(setting_error(
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
                    errors.push(setting_error(
                        1,
                        key,
                        value,
                        "a key must stand below a section header",
                    ));
                }
                continue;
            };
            // The parser yields the section of keys without a header first, even when it is empty.
            let (header_line, key_lines) = lines.section(position.saturating_sub(1));
            if sections.iter().any(|section| section.name == name) {
                errors.push(setting_error(
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
                    errors.push(setting_error(
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

    /// Returns the section with a name.
    pub fn section(&self, name: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.name == name)
    }
}

/// Line numbers of headers and keys in file order, which the INI library does not report.
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
