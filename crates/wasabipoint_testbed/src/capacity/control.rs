//! Measures what control costs against the number of nodes.

use std::time::Duration;

use tokio::time::Instant;

use crate::demo::DemoError;
use crate::fleet::{Fleet, FleetError};
use crate::link::Link;
use crate::plan::FleetPlan;
use crate::swarm::Swarm;
use crate::usage::Usage;

use super::{CapacityOptions, usage_of};

/// Entry processes among 950 nodes of the design size; the others are agents.
const ENTRIES_OF_950: usize = 350;

const MODELS: usize = 95;
const ADAPTERS: usize = 1_000;
const CUSTOMERS: usize = 20;

/// Time for nodes to connect and to get their first snapshot before measuring.
const SETTLE: Duration = Duration::from_secs(5);

const POLL: Duration = Duration::from_millis(5);

/// One row of the table.
struct Row {
    nodes: usize,
    leader_cpu_percent: f64,
    follower_cpu_percent: f64,
    leader_mib: f64,
    follower_mib: f64,
    node_bytes_per_s: f64,
    node_cpu_percent: f64,
    calls_per_s: f64,
    failed_calls: u64,
    in_force_ms: u128,
    without_leader_ms: u128,
    log_entries_per_s: f64,
}

/// Prints the cost of control against the number of nodes.
pub(super) async fn print_control_table(options: &CapacityOptions) -> Result<(), DemoError> {
    println!(
        "| nodes | leader CPU % | follower CPU % | leader MiB | follower MiB | bytes/s per node | \
         node CPU % | calls/s | failed calls | change in force ms | without leader ms | log entries/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (run, nodes) in options
        .nodes
        .split(',')
        .filter_map(|text| text.trim().parse().ok())
        .enumerate()
    {
        let row = measure(nodes, run as u64 + 1, Duration::from_secs(options.seconds)).await?;
        println!(
            "| {} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0} | {} | {} | {} | {:.0} |",
            row.nodes,
            row.leader_cpu_percent,
            row.follower_cpu_percent,
            row.leader_mib,
            row.follower_mib,
            row.node_bytes_per_s,
            row.node_cpu_percent,
            row.calls_per_s,
            row.failed_calls,
            row.in_force_ms,
            row.without_leader_ms,
            row.log_entries_per_s,
        );
    }
    Ok(())
}

async fn measure(nodes: usize, run: u64, length: Duration) -> Result<Row, DemoError> {
    let plan = FleetPlan::delta()
        .with_entries(0)
        .with_endpoints(0, 0)
        .with_inventory(&design_inventory());
    let mut fleet = Fleet::start(plan).await?;
    let leader = fleet.leader().await?;
    let follower = (leader + 1) % fleet.controls.len();
    let link = Link::start("127.0.0.1", fleet.control_rpc_address(leader))
        .await
        .map_err(FleetError::Io)?;
    let entries = nodes * ENTRIES_OF_950 / 950;
    let swarm = Swarm::start(entries, nodes - entries, link.address(), run);
    tokio::time::sleep(SETTLE).await;

    let started = Instant::now();
    let (leader_before, follower_before) = (
        usage_of(fleet.controls[leader].as_ref())?,
        usage_of(fleet.controls[follower].as_ref())?,
    );
    let node_before = usage_of(None)?;
    let bytes_before = link.forwarded_bytes();
    let calls_before = swarm
        .counters
        .calls
        .load(std::sync::atomic::Ordering::Relaxed);
    let status_before = fleet.operate(&["status"]).await?;
    tokio::time::sleep(length).await;
    let elapsed = started.elapsed().as_secs_f64();
    let (leader_after, follower_after) = (
        usage_of(fleet.controls[leader].as_ref())?,
        usage_of(fleet.controls[follower].as_ref())?,
    );
    let node_after = usage_of(None)?;
    let bytes = link.forwarded_bytes() - bytes_before;
    let calls = swarm
        .counters
        .calls
        .load(std::sync::atomic::Ordering::Relaxed)
        - calls_before;
    let status_after = fleet.operate(&["status"]).await?;
    let entries_committed = status_after["commit_index"].as_f64().unwrap_or_default()
        - status_before["commit_index"].as_f64().unwrap_or_default();

    let in_force_ms = measure_change(&fleet, &swarm).await?;
    let failed_calls = swarm
        .counters
        .failed_calls
        .load(std::sync::atomic::Ordering::Relaxed);
    drop(swarm);
    let without_leader_ms = measure_election(&mut fleet, leader).await?;
    let percent = |before: Usage, after: Usage| {
        after.cpu.saturating_sub(before.cpu).as_secs_f64() / elapsed * 100.0
    };
    Ok(Row {
        nodes,
        leader_cpu_percent: percent(leader_before, leader_after),
        follower_cpu_percent: percent(follower_before, follower_after),
        leader_mib: leader_after.resident_mib,
        follower_mib: follower_after.resident_mib,
        node_bytes_per_s: bytes as f64 / elapsed / nodes as f64,
        node_cpu_percent: percent(node_before, node_after) / nodes as f64,
        calls_per_s: calls as f64 / elapsed,
        failed_calls,
        in_force_ms,
        without_leader_ms,
        log_entries_per_s: entries_committed / elapsed,
    })
}

/// Measures the time from sending a change until every entry process holds it.
async fn measure_change(fleet: &Fleet, swarm: &Swarm) -> Result<u128, DemoError> {
    let rules = fleet.folder().join("changed-rules.ini");
    std::fs::write(&rules, "[placement]\nidle_unload_ms = 500000\n").map_err(FleetError::Io)?;
    let sent = Instant::now();
    let response = fleet
        .operate(&["rules", "apply", &rules.display().to_string()])
        .await?;
    let version = response["version"].as_u64().unwrap_or(u64::MAX);
    while swarm.lowest_version() < version {
        if sent.elapsed() > Duration::from_mins(1) {
            return Err(FleetError::Condition("a change in force everywhere".to_owned()).into());
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(sent.elapsed().as_millis())
}

/// Measures the time from killing the leader until another member answers a confirmed read.
async fn measure_election(fleet: &mut Fleet, leader: usize) -> Result<u128, DemoError> {
    if let Some(mut process) = fleet.controls[leader].take() {
        process.kill().await.map_err(FleetError::Io)?;
    }
    let killed = Instant::now();
    let others: Vec<_> = (0..fleet.controls.len())
        .filter(|index| *index != leader)
        .map(|index| fleet.operator(&fleet.control_address(index).to_string()))
        .collect();
    loop {
        for member in &others {
            if member
                .get("/v1/status")
                .await
                .is_ok_and(|response| response.status.is_success())
            {
                return Ok(killed.elapsed().as_millis());
            }
        }
        if killed.elapsed() > Duration::from_mins(1) {
            return Err(FleetError::Condition("a new leader".to_owned()).into());
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Writes an inventory of the design size.
fn design_inventory() -> String {
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
