//! The program `wasabipoint-control`.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use slog::{Level, crit, info};
use wasabipoint_control::{ControlConfig, ControlServer};
use wasabipoint_kernel::{
    CONTROL_SETTINGS, ErrorKind, LogFormat, Settings, build_logger, wait_for_termination,
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
            return exit_code(ErrorKind::InvalidConfiguration);
        }
    };
    let config = ControlConfig::from_settings(&settings);
    if !config.is_joining && !config.members.contains_key(&config.member) {
        eprintln!(
            "{}: [control] members: expected to hold this member, {}, unless it joins",
            arguments.settings.display(),
            config.member
        );
        return exit_code(ErrorKind::InvalidConfiguration);
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
            eprintln!("the runtime cannot start: {error}");
            exit_code(ErrorKind::Internal)
        }
    }
}

async fn run(config: ControlConfig, settings: &Settings) -> ExitCode {
    let format = match settings.text("log_format") {
        "json" => LogFormat::Json,
        _ => LogFormat::Text,
    };
    let level = match settings.text("log_level") {
        "error" => Level::Error,
        "warning" => Level::Warning,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    let (logger, _guard) = build_logger("wasabipoint-control", format, level);
    let server = match ControlServer::start(config, logger.clone()).await {
        Ok(server) => server,
        Err(error) => {
            crit!(logger, "control: the member cannot start"; "error" => %error);
            return exit_code(error.kind());
        }
    };
    let ready = format!(
        "listening http={} rpc={}",
        server.http_address(),
        server.rpc_address()
    );
    // A closed standard output must not stop the member.
    let _ = writeln!(std::io::stdout(), "{ready}");
    let code = tokio::select! {
        signal = wait_for_termination() => {
            info!(logger, "control: termination requested"; "is_ok" => signal.is_ok());
            ExitCode::SUCCESS
        }
        () = server.wait_until_stopped() => {
            crit!(logger, "control: the replica has stopped");
            exit_code(ErrorKind::DataFolderUnusable)
        }
    };
    server.stop().await;
    code
}

fn exit_code(kind: ErrorKind) -> ExitCode {
    ExitCode::from(kind.answer().exit_code)
}
