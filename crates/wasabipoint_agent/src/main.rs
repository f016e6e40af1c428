//! The `wasabipoint-agent` program.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use wasabipoint_agent::{Agent, AgentConfig, AgentService, HttpEndpoint, RpcControlLink};
use wasabipoint_http::HttpServer;
use wasabipoint_kernel::{
    AGENT_SETTINGS, ErrorKind, Incarnation, Metrics, Settings, build_logger, wait_for_termination,
};
use wasabipoint_rpc::ControlClient;

/// Time for HTTP workers to flush buffered responses after a drain. The wait is bounded because
/// idle connections do not close by themselves.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the sidecar beside an endpoint.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Settings file with the section [agent].
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Only check the settings.
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match Settings::load(&options.settings, "agent", AGENT_SETTINGS) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ErrorKind::InvalidConfiguration.exit_code();
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    let result = tokio::runtime::Runtime::new().and_then(|runtime| {
        let result = runtime.block_on(run(&settings));
        // HTTP workers wait up to 30 s for idle connections. Dropping the runtime would wait for
        // their threads.
        runtime.shutdown_background();
        result
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agent: {error}");
            ErrorKind::Unavailable.exit_code()
        }
    }
}

async fn run(settings: &Settings) -> std::io::Result<()> {
    let (logger, _guard) = build_logger("wasabipoint-agent", settings);
    let mut config = AgentConfig::new(settings);
    let server = HttpServer::new(config.listen)?.with_workers(config.workers);
    config.listen = server.local_address()?;
    let listen = config.listen;
    let endpoint = Arc::new(HttpEndpoint::new(config.endpoint_address));
    let control = Arc::new(RpcControlLink::new(ControlClient::new(&config.control)));
    let metrics = Metrics::new("wasabipoint-agent");
    let agent = Agent::start(
        config,
        new_incarnation(),
        endpoint,
        control,
        metrics,
        logger,
    );
    let agent = Arc::new(agent);
    let server = server
        .serve(Arc::new(AgentService::new(Arc::clone(&agent))))
        .await?;
    println!("listening http={listen}");
    wait_for_termination().await?;
    agent.drain().await;
    let _ = tokio::time::timeout(STOP_TIMEOUT, server.stop()).await;
    Ok(())
}

/// Derives the incarnation from the system clock, because the agent has no disk for a counter. The
/// value increases across restarts, since a restart takes longer than a millisecond. Nothing else
/// depends on the system clock; if it was set back, control refuses the smaller incarnation.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.map_or(0, |time| time.as_millis() as u64))
}
