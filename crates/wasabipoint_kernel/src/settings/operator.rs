//! Settings of the `wasabipoint` command line.

use super::{SettingForm, SettingSpec};

/// Keys of the section `[operator]`.
pub const CLI_SETTINGS: &[SettingSpec] = &[
    SettingSpec::new(
        "control",
        SettingForm::Addresses,
        "HTTP addresses of the control members.",
    ),
    SettingSpec::new(
        "operator_token",
        SettingForm::Text,
        "Bearer token of the operator API.",
    ),
    SettingSpec::new(
        "timeout_ms",
        SettingForm::Integer {
            min: 100,
            max: 600_000,
        },
        "Timeout of a command, in milliseconds.",
    )
    .with_default("15000"),
];
