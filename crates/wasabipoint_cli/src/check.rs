//! Validation of settings, inventory and rules files without contacting a control member.

use std::path::Path;

use wasabipoint_kernel::{
    AGENT_SETTINGS, CLI_SETTINGS, CONTROL_SETTINGS, ENTRY_SETTINGS, ErrorKind, IniDocument,
    Inventory, Refusal, Rules, Settings,
};

/// Validates a file and returns its kind, which its sections determine.
pub(crate) fn check_file(path: &Path) -> Result<&'static str, Refusal> {
    let file = path.display().to_string();
    let text = read_file(path)?;
    let invalid = |errors: &dyn std::fmt::Display| {
        Refusal::new(ErrorKind::InvalidConfiguration, format!("\n{errors}"))
    };
    let document = IniDocument::parse(&file, &text).map_err(|errors| invalid(&errors))?;
    let has_section = |name: &str| document.section(name).is_some();
    for (section, specs, label) in [
        (
            "control",
            CONTROL_SETTINGS,
            "settings of wasabipoint-control",
        ),
        ("entry", ENTRY_SETTINGS, "settings of wasabipoint-entry"),
        ("agent", AGENT_SETTINGS, "settings of wasabipoint-agent"),
        ("operator", CLI_SETTINGS, "settings of wasabipoint"),
    ] {
        if has_section(section) {
            Settings::parse(&file, &text, section, specs).map_err(|errors| invalid(&errors))?;
            return Ok(label);
        }
    }
    let is_inventory = document.sections.iter().any(|section| {
        matches!(
            section.kind_and_label().0,
            "inventory" | "model" | "adapter" | "customer"
        )
    });
    if is_inventory {
        Inventory::parse(&file, &text).map_err(|errors| invalid(&errors))?;
        return Ok("inventory");
    }
    Rules::parse(&file, &text).map_err(|errors| invalid(&errors))?;
    Ok("rules")
}

/// Reads a settings, inventory or rules file.
pub(crate) fn read_file(path: &Path) -> Result<String, Refusal> {
    std::fs::read_to_string(path).map_err(|error| {
        Refusal::new(
            ErrorKind::InvalidConfiguration,
            format!("{} cannot be read: {error}", path.display()),
        )
    })
}
