//! Names of failure domains in the paths of operators' requests.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

use crate::FailureDomain;

/// Maximum length of a name that operators give, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Bytes of a name that are percent-encoded in a path.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

impl FailureDomain {
    /// What operators are told about a name that `from_path_segment` refuses.
    pub const EXPECTED_NAME: &str =
        "expected 1 to 128 graphic ASCII characters without /, percent-encoded where needed";

    /// Reads a percent-encoded name from a path. Returns `None` if the encoding is malformed or the
    /// name is not 1 to 128 graphic ASCII bytes without `/`.
    pub fn from_path_segment(segment: &str) -> Option<Self> {
        // The decoder passes a `%` without two digits through. It is refused here, since the sender
        // and this process might mean different names.
        let mut escapes = segment.split('%').skip(1).map(str::as_bytes);
        let is_well_formed = escapes.all(|rest| {
            let digits = rest.get(..2);
            digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
        });
        if !is_well_formed {
            return None;
        }
        let name = percent_decode_str(segment).decode_utf8().ok()?;
        let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
        let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed);
        is_valid.then(|| Self::new(name))
    }

    /// Returns the name in the form that `from_path_segment` reads.
    pub fn to_path_segment(&self) -> String {
        utf8_percent_encode(self.as_str(), ENCODED).to_string()
    }
}
