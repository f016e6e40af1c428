//! Tests of the commands that need no control member.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wasabipoint"))
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .args(arguments)
        .output()
        .unwrap()
}

/// Guards against a check that accepts invalid files or rejects the shipped examples.
#[test]
fn check_accepts_the_examples_and_rejects_invalid_files() {
    for file in [
        "examples/delta/inventory.ini",
        "examples/gujarat-west/rules.ini",
    ] {
        let output = run(&["--json", "check", file]);
        assert!(output.status.success());
        assert!(
            String::from_utf8(output.stdout)
                .unwrap()
                .contains("\"valid\":true")
        );
    }
    for file in ["Cargo.toml", "no-such-file.ini"] {
        let output = run(&["check", file]);
        assert_eq!(output.status.code(), Some(10), "{file}");
        assert!(String::from_utf8(output.stderr).unwrap().contains(file));
    }
}

/// Guards against a printed table of exit codes that differs from the codes in use.
#[test]
fn exit_codes_are_listed() {
    let output = run(&["exit-codes"]);
    let text = String::from_utf8(output.stdout).unwrap();
    let row = text
        .lines()
        .find(|line| line.contains("invalid_configuration"))
        .unwrap();
    assert!(row.trim_start().starts_with("10 "), "{row}");
}
