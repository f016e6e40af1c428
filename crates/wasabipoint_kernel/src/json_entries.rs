//! Decoding of JSON lists whose entries may come from different writers.

use std::borrow::Cow;

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// A JSON document whose list entries are decoded one by one, so that an entry that cannot be read
/// does not hide the others.
///
/// The document is decoded into a type whose entries are [`RawValue`]s: splitting it needs no
/// recursion and reads no numbers or escapes. Bytes that no JSON text contains are replaced before.
#[derive(Debug)]
pub struct JsonDocument<'d> {
    text: Cow<'d, str>,
}

impl<'d> JsonDocument<'d> {
    /// Replaces bytes that are not UTF-8, and control characters other than white space.
    pub fn new(bytes: &'d [u8]) -> Self {
        let is_unreadable = |c: char| c.is_ascii_control() && !matches!(c, '\t' | '\n' | '\r');
        let mut text = String::from_utf8_lossy(bytes);
        if text.contains(is_unreadable) {
            text = Cow::Owned(text.replace(is_unreadable, "\u{FFFD}"));
        }
        Self { text }
    }

    /// Returns the text to decode.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Decodes an entry. Returns `None` if it is larger than `max_bytes`, contains replaced bytes or
    /// does not have the expected form.
    pub fn decode_entry<T: DeserializeOwned>(
        &self,
        entry: &RawValue,
        max_bytes: usize,
    ) -> Option<T> {
        let entry = entry.get();
        let has_replacements = matches!(self.text, Cow::Owned(_));
        if entry.len() > max_bytes
            || (has_replacements && entry.contains(char::REPLACEMENT_CHARACTER))
        {
            return None;
        }
        serde_json::from_str(entry).ok()
    }
}
