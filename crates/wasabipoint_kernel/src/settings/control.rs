//! Settings of `wasabipoint-control`.

use super::{SettingForm, SettingSpec};

/// Keys of the section `[control]`.
pub const CONTROL_SETTINGS: &[SettingSpec] = &[
    SettingSpec::new(
        "cluster",
        SettingForm::Name,
        "Name of the control cluster; a data folder of another cluster is refused.",
    ),
    SettingSpec::new(
        "member",
        SettingForm::Integer {
            min: 1,
            max: 1_000_000,
        },
        "Member id of this process; a VM that lost its disk gets a new one.",
    ),
    SettingSpec::new(
        "members",
        SettingForm::Members,
        "Member ids and rpc addresses of the first members, the same on each.",
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
        "Address for entry, agent and control processes; port 0 lets the system choose.",
    ),
    SettingSpec::new(
        "http_listen",
        SettingForm::Address,
        "Address of the operator API and of metrics.",
    ),
    SettingSpec::new(
        "data_folder",
        SettingForm::Path,
        "Folder of the replicated log and snapshots.",
    ),
    SettingSpec::new(
        "failure_domain",
        SettingForm::Name,
        "Failure domain of this VM.",
    ),
    SettingSpec::new(
        "key_secret",
        SettingForm::Text,
        "Secret of the keyed digest of callers' keys, the same on control and entry.",
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
        "Consensus tick in milliseconds; an election takes 10 to 20 ticks.",
    )
    .with_default("50"),
    SettingSpec::new(
        "snapshot_entries",
        SettingForm::Integer {
            min: 10,
            max: 1_000_000,
        },
        "Log entries between snapshots.",
    )
    .with_default("4096"),
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
        "Silence of an agent after which its grants are in doubt, in milliseconds.",
    )
    .with_default("5000"),
    SettingSpec::new(
        "replace_after_ms",
        SettingForm::Integer {
            min: 100,
            max: 3_600_000,
        },
        "Time in doubt after which a replica may be replaced, in milliseconds.",
    )
    .with_default("10000"),
    SettingSpec::new(
        "log_format",
        SettingForm::Choice(&["text", "json"]),
        "Form of log records.",
    )
    .with_default("text"),
    SettingSpec::new(
        "log_level",
        SettingForm::Choice(&["error", "warning", "info", "debug"]),
        "Least severe level that is logged.",
    )
    .with_default("info"),
];
