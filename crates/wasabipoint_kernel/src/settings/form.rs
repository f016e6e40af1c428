//! Forms of setting values and their validation.

use std::net::SocketAddr;

/// The form that a value must have.
#[derive(Debug, Clone, Copy)]
pub enum SettingForm {
    /// Any non-empty text.
    Text,
    /// A name: letters, digits, `.`, `_` and `-`, at most 64 characters.
    Name,
    /// A whole number within a range.
    Integer {
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
    },
    /// `IP:PORT`.
    Address,
    /// A non-empty, comma-separated list of `IP:PORT`.
    Addresses,
    /// A non-empty, comma-separated list of `ID=IP:PORT`.
    Members,
    /// A comma-separated list of names; it may be empty.
    Names,
    /// A comma-separated list of `NAME=NAME`; it may be empty.
    NamePairs,
    /// A decimal number of at least 0; it may be empty, which stands for the built-in value.
    Decimal,
    /// `yes` or `no`.
    Flag,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A file or folder path.
    Path,
}

impl SettingForm {
    /// Returns whether a value has this form.
    pub fn accepts(&self, value: &str) -> bool {
        match self {
            Self::Text | Self::Path => !value.is_empty(),
            Self::Name => is_name(value),
            Self::Integer { min, max } => value
                .parse::<u64>()
                .is_ok_and(|number| (*min..=*max).contains(&number)),
            Self::Address => value.parse::<SocketAddr>().is_ok(),
            Self::Addresses => {
                !value.is_empty()
                    && value
                        .split(',')
                        .all(|item| item.trim().parse::<SocketAddr>().is_ok())
            }
            Self::Members => {
                !value.is_empty()
                    && value
                        .split(',')
                        .all(|item| parse_member(item.trim()).is_some())
            }
            Self::Names => value.is_empty() || value.split(',').all(|item| is_name(item.trim())),
            Self::NamePairs => {
                let mut items = value.split(',').map(str::trim);
                value.is_empty()
                    || items.all(|item| item.is_empty() || parse_name_pair(item).is_some())
            }
            Self::Decimal => {
                value.is_empty()
                    || value
                        .parse::<f64>()
                        .is_ok_and(|number| number.is_finite() && number >= 0.0)
            }
            Self::Flag => matches!(value, "yes" | "no"),
            Self::Choice(choices) => choices.contains(&value),
        }
    }

    /// Describes the form in error messages and on the reference page.
    pub fn describe(&self) -> String {
        match self {
            Self::Text => "text".to_owned(),
            Self::Name => {
                "a name of letters, digits, `.`, `_` and `-`, at most 64 characters".to_owned()
            }
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Address => "IP:PORT".to_owned(),
            Self::Addresses => "a comma-separated list of IP:PORT".to_owned(),
            Self::Members => "a comma-separated list of ID=IP:PORT".to_owned(),
            Self::Names => "a comma-separated list of names".to_owned(),
            Self::NamePairs => "a comma-separated list of NAME=NAME".to_owned(),
            Self::Decimal => "a decimal number of at least 0, or nothing".to_owned(),
            Self::Flag => "yes or no".to_owned(),
            Self::Choice(choices) => format!("one of {}", choices.join(", ")),
            Self::Path => "a file or folder name".to_owned(),
        }
    }
}

pub(crate) fn is_name(value: &str) -> bool {
    (1..=64).contains(&value.len())
        && value
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte))
}

/// Parses `NAME=NAME`. The names are graphic characters without `=` and `,`.
pub(crate) fn parse_name_pair(item: &str) -> Option<(&str, &str)> {
    let (key, value) = item.split_once('=')?;
    let (key, value) = (key.trim(), value.trim());
    let is_valid = |name: &str| {
        (1..=128).contains(&name.len())
            && name
                .bytes()
                .all(|byte| byte.is_ascii_graphic() && byte != b'=')
    };
    (is_valid(key) && is_valid(value)).then_some((key, value))
}

pub(crate) fn parse_member(item: &str) -> Option<(u64, SocketAddr)> {
    let (id, address) = item.split_once('=')?;
    Some((id.trim().parse().ok()?, address.trim().parse().ok()?))
}
