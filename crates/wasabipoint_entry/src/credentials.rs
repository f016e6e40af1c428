//! Parses caller keys from the authorization header and keeps them out of forwarded requests.

use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName};
use wasabipoint_kernel::{ErrorKind, Refusal};

/// Headers that are forwarded to plain services, besides `x-` headers. An allow list keeps
/// credentials in unusual headers from reaching an endpoint.
const FORWARDED_HEADERS: &[&str] = &[
    "accept",
    "accept-language",
    "content-language",
    "content-type",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "if-unmodified-since",
    "range",
    "traceparent",
    "user-agent",
];

/// `x-` headers that are not forwarded: they carry credentials or are set by the system.
const WITHHELD_HEADERS: &[&str] = &["x-api-key", "x-auth-token", "x-priority", "x-request-id"];

/// A caller's key. Does not implement `Debug`, so that it cannot be logged by accident.
pub(crate) struct CallerKey(String);

impl CallerKey {
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether `bytes` contain the key.
    pub(crate) fn occurs_in(&self, bytes: &[u8]) -> bool {
        let key = self.0.as_bytes();
        bytes.windows(key.len()).any(|window| window == key)
    }
}

/// Parses the key from `authorization: Bearer KEY`.
pub(crate) fn read_key(headers: &HeaderMap) -> Result<Option<CallerKey>, Refusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() || headers.contains_key("x-api-key") {
        return Err(Refusal::new(
            ErrorKind::DuplicateKey,
            "send one authorization header and no other key header",
        ));
    }
    let text = value.to_str().unwrap_or_default();
    let token = text
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim())
        .filter(|token| is_bearer_token(token))
        .ok_or_else(|| Refusal::new(ErrorKind::InvalidKey, "expected authorization: Bearer KEY"))?;
    Ok(Some(CallerKey(token.to_owned())))
}

/// Returns whether a text has only bearer token characters. JSON encoding escapes none of them, so
/// searching an encoded body for the key is exact.
fn is_bearer_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-._~+/=".contains(&byte))
}

/// Selects the headers that are forwarded to a plain service, without those that contain the key.
pub(crate) fn select_forwarded_headers(
    headers: &HeaderMap,
    key: Option<&CallerKey>,
) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .filter(|(_, value)| !key.is_some_and(|key| key.occurs_in(value.as_bytes())))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}

fn is_forwarded(name: &HeaderName) -> bool {
    let name = name.as_str();
    FORWARDED_HEADERS.contains(&name)
        || (name.starts_with("x-") && !WITHHELD_HEADERS.contains(&name))
}

/// Removes query parameters that contain the caller's key or whose value is any known key.
pub(crate) fn remove_keys_from_query(
    query: &str,
    key: Option<&CallerKey>,
    is_known_key: impl Fn(&str) -> bool,
) -> String {
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| {
            let decoded = percent_decode(pair);
            let value = decoded
                .split_once('=')
                .map_or(decoded.as_str(), |(_, value)| value);
            !key.is_some_and(|key| key.occurs_in(decoded.as_bytes())) && !is_known_key(value)
        })
        .collect();
    kept.join("&")
}

/// Decodes percent escapes; invalid UTF-8 is replaced.
pub(crate) fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let escape = (bytes[position] == b'%')
            .then(|| text.get(position + 1..position + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(escape.unwrap_or(bytes[position]));
        position += if escape.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
