//! Tests for settings, inventory and rules files.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::path::{Path, PathBuf};

use wasabipoint_kernel::{
    CONTROL_SETTINGS, ENTRY_SETTINGS, Inventory, Rules, Settings, render_reference,
};

const ENTRY: &str = "[entry]\nentry = e1\nlisten = 127.0.0.1:0\ncontrol = 127.0.0.1:1\n\
    failure_domain = Tanta\nkey_secret = s\noperator_token = t\n";

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(workspace().join(path)).unwrap()
}

/// Guards against a reference page that differs from the accepted keys. Run with
/// `UPDATE_REFERENCE=1` to regenerate the page.
#[test]
fn reference_page_matches_the_tables() {
    let page = workspace().join("docs/settings.md");
    if std::env::var_os("UPDATE_REFERENCE").is_some() {
        std::fs::write(&page, render_reference()).unwrap();
    }
    let (actual, expected) = (read("docs/settings.md"), render_reference());
    for (line, (left, right)) in actual.lines().zip(expected.lines()).enumerate() {
        assert_eq!(left, right, "docs/settings.md:{}", line + 1);
    }
    assert_eq!(actual.len(), expected.len());
}

/// Guards against shipped examples that the programs reject.
#[test]
fn examples_are_accepted_with_the_expected_sizes() {
    for name in ["delta", "gujarat-west"] {
        let file = format!("examples/{name}/inventory.ini");
        let inventory = Inventory::parse(&file, &read(&file)).unwrap();
        assert_eq!(inventory.models.len(), 30, "{name}");
        assert_eq!(inventory.adapters.len(), 60, "{name}");
        assert_eq!(inventory.customers.len(), 5, "{name}");
        let file = format!("examples/{name}/rules.ini");
        let rules = Rules::parse(&file, &read(&file)).unwrap();
        assert_eq!(rules.routes.len(), 3, "{name}");
    }
}

/// Guards against error messages that lack the position, the rejected value or the accepted form.
#[test]
fn each_error_names_file_line_key_value_and_form() {
    let cases = [
        (
            ENTRY.replace("workers", "x") + "workers = many\n",
            "e.ini:8: [entry] workers = \"many\": expected a whole number from 1 to 64",
        ),
        (
            ENTRY.to_owned() + "wrokers = 1\n",
            "e.ini:8: [entry] wrokers = \"1\": unknown key",
        ),
        (
            ENTRY.replace("listen = 127.0.0.1:0\n", ""),
            "e.ini:1: [entry] listen: required key is missing, expected IP:PORT",
        ),
        (
            ENTRY.to_owned() + "entry = e2\n",
            "e.ini:8: [entry] entry = \"e2\": the key stands more than once",
        ),
        (
            ENTRY.to_owned() + "[other]\n",
            "e.ini:8: [other]: unknown section, expected [entry]",
        ),
        (
            ENTRY.to_owned() + "[entry]\n",
            "e.ini:8: [entry]: the section stands more than once",
        ),
        (
            "a = 1\n".to_owned() + ENTRY,
            "e.ini:1: a = \"1\": a key must stand below a section header",
        ),
        (
            ENTRY.trim_end().to_owned(),
            "e.ini:7: end of file: the last line has no line end",
        ),
        (ENTRY.to_owned() + "[entr", "e.ini:8"),
    ];
    for (text, expected) in cases {
        let errors = Settings::parse("e.ini", &text, "entry", ENTRY_SETTINGS).unwrap_err();
        let message = errors.to_string();
        assert!(
            message.contains(expected),
            "expected {expected:?} in {message:?}"
        );
    }
    assert!(Settings::parse("e.ini", ENTRY, "entry", ENTRY_SETTINGS).is_ok());
    assert!(Settings::parse("e.ini", ENTRY, "control", CONTROL_SETTINGS).is_err());
}

/// Guards against a truncated inventory that is accepted and removes models or customers from a
/// running system.
#[test]
fn every_truncation_of_an_inventory_is_rejected() {
    let text = read("examples/delta/inventory.ini");
    let complete = Inventory::parse("i.ini", &text).unwrap();
    // Every length near the end, where the last section is truncated, and a sample of the rest.
    let lengths = (0..text.len()).filter(|length| length % 97 == 0 || length + 400 > text.len());
    for length in lengths.filter(|length| text.is_char_boundary(*length)) {
        if let Ok(inventory) = Inventory::parse("i.ini", &text[..length]) {
            assert_eq!(inventory, complete, "accepted the first {length} bytes");
        }
    }
}

/// Guards against a difference of two inventories that, once applied, does not produce the new one.
#[test]
fn applied_changes_produce_the_new_inventory() {
    let from = Inventory::parse("d", &read("examples/delta/inventory.ini")).unwrap();
    let to = Inventory::parse("g", &read("examples/gujarat-west/inventory.ini")).unwrap();
    let mut updated = from.clone();
    for change in from.changes_to(&to) {
        updated.apply(&change);
    }
    assert_eq!(updated, to);
    assert!(to.changes_to(&to.clone()).is_empty());
}
