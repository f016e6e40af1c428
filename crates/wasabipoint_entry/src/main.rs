//! The `wasabipoint-entry` program.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use slog::{Logger, error};
use wasabipoint_entry::{Entry, EntryConfig, EntryHandler, HttpAgentLink, RpcControlLink};
use wasabipoint_http::HttpServer;
use wasabipoint_kernel::{
    ENTRY_SETTINGS, ErrorKind, Incarnation, Settings, build_logger, wait_for_termination,
};

/// Serves callers and routes their requests to endpoints.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file with a section [entry]
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Only check the settings
    check: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings = match Settings::load(&arguments.settings, "entry", ENTRY_SETTINGS) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ErrorKind::InvalidConfiguration.exit_code();
        }
    };
    if arguments.check {
        println!("{}: the settings are valid", display(&arguments.settings));
        return ExitCode::SUCCESS;
    }
    let (logger, _guard) = build_logger("wasabipoint-entry", &settings);
    match run(&settings, &logger) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(logger, "entry: failed to run"; "error" => %error);
            ErrorKind::Unavailable.exit_code()
        }
    }
}

#[tokio::main]
async fn run(settings: &Settings, logger: &Logger) -> std::io::Result<()> {
    let server = HttpServer::new(settings.address("listen"))?
        .with_workers(settings.integer("workers") as usize);
    let address = server.local_address()?;
    // Incarnations only have to increase with each restart. The process keeps no state on disk, so
    // it takes them from the wall clock.
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = Incarnation(started.map_or(0, |elapsed| elapsed.as_millis() as u64));
    let config = EntryConfig::from_settings(settings, address, incarnation);
    let control = Arc::new(RpcControlLink::new(&settings.addresses("control")));
    let agents = Arc::new(HttpAgentLink::new());
    let entry = Entry::start(config, control, agents, logger.clone());
    let handle = server
        .serve(Arc::new(EntryHandler::new(Arc::clone(&entry))))
        .await?;
    let mut output = std::io::stdout();
    writeln!(output, "listening http={address}")?;
    output.flush()?;
    wait_for_termination().await?;
    entry.drain().await;
    handle.stop().await;
    Ok(())
}

fn display(path: &Path) -> String {
    path.display().to_string()
}
