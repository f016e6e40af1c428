//! Tests of the `wasabipoint-control` binary.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use http::Method;

use crate::fixture::{
    INVENTORY, OPERATOR_TOKEN, apply_document, new_data_folder, parse_json, send_to_leader,
};

struct ControlProcess {
    child: Child,
    http: SocketAddr,
}

impl Drop for ControlProcess {
    fn drop(&mut self) {
        // Keeps a failed test from leaving the process behind. Errors are ignored, since the process
        // may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn program_command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wasabipoint-control"));
    command.arg("--settings").arg(settings);
    command
}

fn write_settings(folder: &Path, extra: &str) -> PathBuf {
    let path = folder.join("control.ini");
    let data = folder.join("data");
    std::fs::create_dir_all(&data).unwrap();
    let text = format!(
        "[control]\ncluster = test\nmember = 1\nmembers = 1=127.0.0.1:0\n\
         rpc_listen = 127.0.0.1:0\nhttp_listen = 127.0.0.1:0\ndata_folder = {}\n\
         failure_domain = Rajkot\nkey_secret = digest\noperator_token = {OPERATOR_TOKEN}\n\
         tick_ms = 20\nsnapshot_entries = 10\n{extra}",
        data.display()
    );
    std::fs::write(&path, text).unwrap();
    path
}

fn spawn_member(settings: &Path) -> ControlProcess {
    let mut child = program_command(settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let stdout = child.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let http = line
        .split_whitespace()
        .find_map(|word| word.strip_prefix("http="))
        .unwrap_or_else(|| panic!("unexpected output {line:?}"));
    ControlProcess {
        child,
        http: http.parse().unwrap(),
    }
}

/// Guards against the loss of acknowledged changes after SIGTERM or SIGKILL, with and without
/// snapshots in between, and against a program that ignores SIGTERM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn state_survives_termination_and_restart() {
    let settings = write_settings(&new_data_folder(), "");
    let mut version = 0;
    for _ in 0..3 {
        let mut member = spawn_member(&settings);
        for _ in 0..15 {
            let change_id = format!("change-{version}");
            let addresses = [member.http];
            let applied =
                apply_document(&addresses, "/v1/inventory", version, &change_id, INVENTORY);
            version += 1;
            assert_eq!(parse_json(&applied.await)["version"], version);
        }
        let pid = member.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        assert!(sent.success());
        assert!(member.child.wait().unwrap().success());
    }
    let mut member = spawn_member(&settings);
    // This process ends by SIGKILL instead of SIGTERM.
    member.child.kill().unwrap();
    member.child.wait().unwrap();
    let member = spawn_member(&settings);
    let shown = send_to_leader(&[member.http], Method::GET, "/v1/inventory", &[], "").await;
    assert_eq!(parse_json(&shown)["version"], version);
}

/// Guards against a `--check` that accepts settings which a start refuses, and against exit codes
/// that differ from the error table.
#[test]
fn check_flag_accepts_valid_and_rejects_invalid_settings() {
    for (extra, code) in [("", 0), ("tick_ms = soon\n", 10), ("color = red\n", 10)] {
        let settings = write_settings(&new_data_folder(), extra);
        let checked = program_command(&settings).arg("--check").output().unwrap();
        assert_eq!(checked.status.code(), Some(code), "{extra:?}: {checked:?}");
    }
}
