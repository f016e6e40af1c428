//! Command line entry point of `wasabipoint-control`.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use slog::{crit, info};
use wasabipoint_control::{ControlConfig, ControlServer};
use wasabipoint_kernel::{
    CONTROL_SETTINGS, ErrorKind, Settings, build_logger, wait_for_termination,
};

/// Control member of wasabipoint: configuration, keys, placement and quota
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file with the section [control]
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit
    check: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings = match Settings::load(&arguments.settings, "control", CONTROL_SETTINGS) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ErrorKind::InvalidConfiguration.exit_code();
        }
    };
    let config = ControlConfig::from_settings(&settings);
    if !config.is_joining && !config.members.contains_key(&config.member) {
        eprintln!(
            "{}: [control] members: expected to hold this member, {}, unless it joins",
            arguments.settings.display(),
            config.member
        );
        return ErrorKind::InvalidConfiguration.exit_code();
    }
    if arguments.check {
        println!("{}: ok", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(config, &settings)),
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            ErrorKind::Internal.exit_code()
        }
    }
}

async fn run(config: ControlConfig, settings: &Settings) -> ExitCode {
    let (logger, _guard) = build_logger("wasabipoint-control", settings);
    let server = match ControlServer::start(config, logger.clone()).await {
        Ok(server) => server,
        Err(error) => {
            crit!(logger, "control: the member cannot start"; "error" => %error);
            return error.kind().exit_code();
        }
    };
    let ready = format!(
        "listening http={} rpc={}",
        server.http_address(),
        server.rpc_address()
    );
    // Ignored, since the member has to run with a closed standard output as well.
    let _ = writeln!(std::io::stdout(), "{ready}");
    let code = tokio::select! {
        signal = wait_for_termination() => {
            info!(logger, "control: termination requested"; "is_ok" => signal.is_ok());
            ExitCode::SUCCESS
        }
        () = server.wait_until_stopped() => {
            crit!(logger, "control: the replica has stopped");
            ErrorKind::DataFolderUnusable.exit_code()
        }
    };
    server.stop().await;
    code
}
