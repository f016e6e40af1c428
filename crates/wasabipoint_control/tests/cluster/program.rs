//! The program as a process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use http::Method;

use crate::fixture::{INVENTORY, TOKEN, apply, call_leader, json, new_folder};

struct Program {
    child: Child,
    http: SocketAddr,
}

impl Drop for Program {
    fn drop(&mut self) {
        // A failed test must not leave the process behind; a process that has ended is no fault.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(settings: &Path) -> Command {
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
         failure_domain = Rajkot\nkey_secret = digest\noperator_token = {TOKEN}\n\
         tick_ms = 20\nsnapshot_entries = 10\n{extra}",
        data.display()
    );
    std::fs::write(&path, text).unwrap();
    path
}

fn start(settings: &Path) -> Program {
    let mut child = command(settings)
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
        .unwrap_or_else(|| panic!("unexpected line {line:?}"));
    Program {
        child,
        http: http.parse().unwrap(),
    }
}

/// Guards against acknowledged changes that are gone after a clean stop and restarts, with and
/// without snapshots in between, and against a program that ignores SIGTERM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn state_survives_termination_and_restart() {
    let settings = write_settings(&new_folder(), "");
    let mut version = 0;
    for _ in 0..3 {
        let mut program = start(&settings);
        for _ in 0..15 {
            let change = format!("change-{version}");
            let addresses = [program.http];
            let applied = apply(&addresses, "/v1/inventory", version, &change, INVENTORY);
            version += 1;
            assert_eq!(json(&applied.await)["version"], version);
        }
        let pid = program.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        assert!(sent.success());
        assert!(program.child.wait().unwrap().success());
    }
    let mut program = start(&settings);
    // The last run ends by SIGKILL, which must lose nothing either.
    program.child.kill().unwrap();
    program.child.wait().unwrap();
    let program = start(&settings);
    let shown = call_leader(&[program.http], Method::GET, "/v1/inventory", &[], "").await;
    assert_eq!(json(&shown)["version"], version);
}

/// Guards against settings that are accepted by the check and refused at the start, and against
/// exit codes that differ from the error table.
#[test]
fn check_tells_valid_settings_from_invalid_ones() {
    for (extra, code) in [("", 0), ("tick_ms = soon\n", 10), ("color = red\n", 10)] {
        let settings = write_settings(&new_folder(), extra);
        let checked = command(&settings).arg("--check").output().unwrap();
        assert_eq!(checked.status.code(), Some(code), "{extra:?}: {checked:?}");
    }
}
