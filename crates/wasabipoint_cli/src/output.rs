//! Output and exit code of a command.

use std::io::Write;
use std::process::ExitCode;

use serde_json::{Value, json};
use wasabipoint_kernel::{ErrorKind, Refusal};

/// Text and exit code of a command.
#[derive(Debug, Clone, PartialEq)]
pub struct Output {
    text: String,
    exit_code: u8,
}

impl Output {
    /// Creates the output of a command that succeeded.
    pub(crate) fn new(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            exit_code: 0,
        }
    }

    /// Creates the output of a command that failed.
    pub(crate) fn failed(refusal: &Refusal, is_json: bool) -> Self {
        let text = if is_json {
            refusal.to_json()
        } else {
            let properties = refusal.kind.properties();
            format!("error: {}: {}", properties.text, refusal.detail)
        };
        Self {
            text,
            exit_code: refusal.kind.properties().exit_code,
        }
    }

    /// Prints results to standard output and errors to standard error, and returns the exit code.
    pub fn print(&self) -> ExitCode {
        let text = format!("{}\n", self.text.trim_end());
        // A closed pipe, as with `| head`, does not change the exit code of the command.
        let _ = if self.exit_code == 0 {
            std::io::stdout().write_all(text.as_bytes())
        } else {
            std::io::stderr().write_all(text.as_bytes())
        };
        ExitCode::from(self.exit_code)
    }
}

/// Renders the table of exit codes.
pub(crate) fn render_exit_codes(is_json: bool) -> String {
    let rows = ErrorKind::ALL.iter().map(|kind| kind.properties());
    if is_json {
        let rows: Vec<Value> = rows
            .map(|row| json!({"kind": row.name, "exit_code": row.exit_code, "status": row.status, "text": row.text}))
            .collect();
        return Value::from(rows).to_string();
    }
    let mut lines = vec![
        "code  status  kind                    meaning".to_owned(),
        "   0       -  -                       success".to_owned(),
    ];
    lines.extend(rows.map(|row| {
        format!(
            "{:>4}  {:>6}  {:<22}  {}",
            row.exit_code, row.status, row.name, row.text
        )
    }));
    lines.join("\n")
}
