//! Measures the resource usage of control members by number of nodes.

use std::time::Duration;

use tokio::time::Instant;

use crate::config::FleetConfig;
use crate::demo::DemoError;
use crate::fleet::{Fleet, FleetError};
use crate::proxy::TcpProxy;
use crate::simulated_nodes::SimulatedNodes;
use crate::usage::Usage;

use super::{CapacityOptions, read_process_usage};

/// Entry processes per 950 nodes, the design size. The other nodes are agents.
const ENTRIES_PER_950_NODES: usize = 350;

const MODELS: usize = 95;
const ADAPTERS: usize = 1_000;
const CUSTOMERS: usize = 20;

/// Time before each measurement in which nodes connect and receive their first snapshot.
const SETTLING_TIME: Duration = Duration::from_secs(5);

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Results for one number of nodes.
struct Measurement {
    nodes: usize,
    leader_cpu_percent: f64,
    follower_cpu_percent: f64,
    leader_mib: f64,
    follower_mib: f64,
    node_bytes_per_s: f64,
    node_cpu_percent: f64,
    calls_per_s: f64,
    failed_calls: u64,
    propagation_ms: u128,
    failover_ms: u128,
    log_entries_per_s: f64,
}

/// Measures each configured number of nodes and prints the results as a Markdown table.
pub(super) async fn print_control_table(options: &CapacityOptions) -> Result<(), DemoError> {
    println!(
        "| nodes | leader CPU % | follower CPU % | leader MiB | follower MiB | bytes/s per node | \
         node CPU % | calls/s | failed calls | change in force ms | without leader ms | log entries/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (run_number, nodes) in options
        .nodes
        .split(',')
        .filter_map(|text| text.trim().parse().ok())
        .enumerate()
    {
        let measurement = measure(
            nodes,
            run_number as u64 + 1,
            Duration::from_secs(options.seconds),
        )
        .await?;
        println!(
            "| {} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0} | {} | {} | {} | {:.0} |",
            measurement.nodes,
            measurement.leader_cpu_percent,
            measurement.follower_cpu_percent,
            measurement.leader_mib,
            measurement.follower_mib,
            measurement.node_bytes_per_s,
            measurement.node_cpu_percent,
            measurement.calls_per_s,
            measurement.failed_calls,
            measurement.propagation_ms,
            measurement.failover_ms,
            measurement.log_entries_per_s,
        );
    }
    Ok(())
}

async fn measure(
    nodes: usize,
    run_number: u64,
    duration: Duration,
) -> Result<Measurement, DemoError> {
    let config = FleetConfig::delta()
        .with_entries(0)
        .with_endpoints(0, 0)
        .with_inventory(&design_size_inventory());
    let mut fleet = Fleet::start(config).await?;
    let leader_index = fleet.leader_index().await?;
    let follower = (leader_index + 1) % fleet.control_members.len();
    // The simulated nodes connect through a proxy, which counts their bytes.
    let proxy = TcpProxy::start("127.0.0.1", fleet.control_rpc_address(leader_index))
        .await
        .map_err(FleetError::Io)?;
    let entries = nodes * ENTRIES_PER_950_NODES / 950;
    let simulated_nodes =
        SimulatedNodes::start(entries, nodes - entries, proxy.address(), run_number);
    tokio::time::sleep(SETTLING_TIME).await;

    let started = Instant::now();
    let (leader_before, follower_before) = (
        read_process_usage(fleet.control_members[leader_index].as_ref())?,
        read_process_usage(fleet.control_members[follower].as_ref())?,
    );
    // This process simulates all nodes.
    let nodes_before = read_process_usage(None)?;
    let bytes_before = proxy.forwarded_bytes();
    let calls_before = simulated_nodes
        .counters
        .calls
        .load(std::sync::atomic::Ordering::Relaxed);
    let status_before = fleet.run_cli(&["status"]).await?;
    tokio::time::sleep(duration).await;
    let elapsed = started.elapsed().as_secs_f64();
    let (leader_after, follower_after) = (
        read_process_usage(fleet.control_members[leader_index].as_ref())?,
        read_process_usage(fleet.control_members[follower].as_ref())?,
    );
    let nodes_after = read_process_usage(None)?;
    let bytes = proxy.forwarded_bytes() - bytes_before;
    let calls = simulated_nodes
        .counters
        .calls
        .load(std::sync::atomic::Ordering::Relaxed)
        - calls_before;
    let status_after = fleet.run_cli(&["status"]).await?;
    let committed_log_entries = status_after["commit_index"].as_f64().unwrap_or_default()
        - status_before["commit_index"].as_f64().unwrap_or_default();

    let propagation_ms = measure_propagation(&fleet, &simulated_nodes).await?;
    let failed_calls = simulated_nodes
        .counters
        .failed_calls
        .load(std::sync::atomic::Ordering::Relaxed);
    drop(simulated_nodes);
    let failover_ms = measure_failover(&mut fleet, leader_index).await?;
    let cpu_percent = |before: Usage, after: Usage| {
        after.cpu.saturating_sub(before.cpu).as_secs_f64() / elapsed * 100.0
    };
    Ok(Measurement {
        nodes,
        leader_cpu_percent: cpu_percent(leader_before, leader_after),
        follower_cpu_percent: cpu_percent(follower_before, follower_after),
        leader_mib: leader_after.resident_mib,
        follower_mib: follower_after.resident_mib,
        node_bytes_per_s: bytes as f64 / elapsed / nodes as f64,
        node_cpu_percent: cpu_percent(nodes_before, nodes_after) / nodes as f64,
        calls_per_s: calls as f64 / elapsed,
        failed_calls,
        propagation_ms,
        failover_ms,
        log_entries_per_s: committed_log_entries / elapsed,
    })
}

/// Measures the time from the submission of a change until every entry process has received it.
async fn measure_propagation(
    fleet: &Fleet,
    simulated_nodes: &SimulatedNodes,
) -> Result<u128, DemoError> {
    let rules = fleet.folder().join("changed-rules.ini");
    std::fs::write(&rules, "[placement]\nidle_unload_ms = 500000\n").map_err(FleetError::Io)?;
    let sent = Instant::now();
    let response = fleet
        .run_cli(&["rules", "apply", &rules.display().to_string()])
        .await?;
    let version = response["version"].as_u64().unwrap_or(u64::MAX);
    while simulated_nodes.lowest_config_version() < version {
        if sent.elapsed() > Duration::from_mins(1) {
            return Err(FleetError::ConditionNotMet(
                "propagation of a change to all entry processes".to_owned(),
            )
            .into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(sent.elapsed().as_millis())
}

/// Measures the time from the kill of the leader until another member answers a linearizable read.
async fn measure_failover(fleet: &mut Fleet, leader_index: usize) -> Result<u128, DemoError> {
    if let Some(mut process) = fleet.control_members[leader_index].take() {
        process.kill().await.map_err(FleetError::Io)?;
    }
    let killed = Instant::now();
    let other_members: Vec<_> = (0..fleet.control_members.len())
        .filter(|index| *index != leader_index)
        .map(|index| fleet.operator_client(&fleet.operator_api_address(index).to_string()))
        .collect();
    loop {
        for member in &other_members {
            if member
                .get("/v1/status")
                .await
                .is_ok_and(|response| response.status.is_success())
            {
                return Ok(killed.elapsed().as_millis());
            }
        }
        if killed.elapsed() > Duration::from_mins(1) {
            return Err(
                FleetError::ConditionNotMet("the election of a new leader".to_owned()).into(),
            );
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns an inventory of the design size.
fn design_size_inventory() -> String {
    use std::fmt::Write;
    let mut text =
        format!("[inventory]\nmodels = {MODELS}\nadapters = {ADAPTERS}\ncustomers = {CUSTOMERS}\n");
    for index in 0..MODELS {
        let _ = write!(
            text,
            "[model model-{index}]\nversion = 1\nmemory_mib = 40000\nmax_replicas = 20\n\
             max_answer_tokens = 1024\n"
        );
    }
    for index in 0..ADAPTERS {
        let model = index % MODELS;
        let _ = write!(
            text,
            "[adapter adapter-{index}]\nmodel = model-{model}\nversion = 1\nmemory_mib = 200\n"
        );
    }
    for index in 0..CUSTOMERS {
        let _ = write!(
            text,
            "[customer customer-{index}]\nrate_tokens_per_s = 75000\nburst_tokens = 300000\n\
             models = model-{index}\nroutes =\npriority = 5\n"
        );
    }
    text
}
