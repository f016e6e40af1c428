//! Settings of `wasabipoint-control`.

use super::{SettingForm, SettingSpec};

/// Keys of the section `[control]`.
pub const CONTROL_SETTINGS: &[SettingSpec] = &[
    SettingSpec::new(
        "cluster",
        SettingForm::Name,
        "Name of the control cluster; a data folder of another cluster is rejected.",
    ),
    SettingSpec::new(
        "member",
        SettingForm::Integer {
            min: 1,
            max: 1_000_000,
        },
        "Member id of this process; a VM that lost its disk needs a new one.",
    ),
    SettingSpec::new(
        "members",
        SettingForm::Members,
        "Member ids and RPC addresses of the initial members; must be the same on all of them.",
    ),
    SettingSpec::new(
        "join",
        SettingForm::Flag,
        "Whether this member joins an existing cluster as a learner.",
    )
    .with_default("no"),
    SettingSpec::new(
        "rpc_listen",
        SettingForm::Address,
        "RPC listen address for entry, agent and control processes; with port 0 the system chooses a free port.",
    ),
    SettingSpec::new(
        "http_listen",
        SettingForm::Address,
        "Listen address of the operator API and of metrics.",
    ),
    SettingSpec::new(
        "data_folder",
        SettingForm::Path,
        "Folder for the replicated log and snapshots.",
    ),
    SettingSpec::new(
        "failure_domain",
        SettingForm::Name,
        "Failure domain of this VM.",
    ),
    SettingSpec::new(
        "key_secret",
        SettingForm::Text,
        "Secret for the digests of API keys; must be the same in control and entry processes.",
    ),
    SettingSpec::new(
        "operator_token",
        SettingForm::Text,
        "Bearer token of the operator API.",
    ),
    SettingSpec::new(
        "platform_list",
        SettingForm::Text,
        "URL of the platform's list of VMs, or `none`.",
    )
    .with_default("none"),
    SettingSpec::new(
        "tick_ms",
        SettingForm::Integer { min: 5, max: 1_000 },
        "Consensus tick in milliseconds; the election timeout is 10 to 20 ticks.",
    )
    .with_default("50"),
    SettingSpec::new(
        "snapshot_entries",
        SettingForm::Integer {
            min: 10,
            max: 1_000_000,
        },
        "Number of log entries between snapshots.",
    )
    .with_default("4096"),
    SettingSpec::new(
        "snapshot_log_kb",
        SettingForm::Integer {
            min: 64,
            max: 1_048_576,
        },
        "Size of log entries between snapshots in kilobytes, if they reach it before their number.",
    )
    .with_default("8192"),
    SettingSpec::new(
        "slice_lifetime_ms",
        SettingForm::Integer {
            min: 100,
            max: 60_000,
        },
        "Lifetime of a quota slice at an entry process in milliseconds.",
    )
    .with_default("5000"),
    SettingSpec::new(
        "agent_silence_ms",
        SettingForm::Integer {
            min: 100,
            max: 600_000,
        },
        "Time without a report from an agent after which its grants are in doubt, in milliseconds.",
    )
    .with_default("5000"),
    SettingSpec::new(
        "replace_after_ms",
        SettingForm::Integer {
            min: 100,
            max: 3_600_000,
        },
        "Time that a grant is in doubt before its replica may be replaced, in milliseconds.",
    )
    .with_default("10000"),
    SettingSpec::new(
        "log_format",
        SettingForm::Choice(&["text", "json"]),
        "Format of log records.",
    )
    .with_default("text"),
    SettingSpec::new(
        "log_level",
        SettingForm::Choice(&["error", "warning", "info", "debug"]),
        "Minimum severity of logged records.",
    )
    .with_default("info"),
];
