//! Measures the resource usage of entry and agent processes: idle, per request and per token.

use std::time::Duration;

use tokio::time::Instant;

use crate::client::ApiClient;
use crate::config::FleetConfig;
use crate::demo::DemoError;
use crate::fleet::Fleet;
use crate::usage::Usage;

use super::{CapacityOptions, read_process_usage};

/// Number of concurrent requests.
const CONCURRENCY: usize = 32;

/// Requests per measurement.
const REQUESTS: usize = 2_000;

/// Completion lengths in tokens. The slope between them is the cost per token.
const COMPLETION_TOKENS: [u64; 2] = [4, 64];

const MODEL: &str = "stems-small";

/// Rules that keep the model loaded during the measurement.
const RULES: &str = "[placement]\npolicy = keep_loaded\n[routing]\npolicy = prefix_affinity\n";

/// Resource usage of both processes at one point in time.
#[derive(Clone, Copy)]
struct UsageSample {
    entry: Usage,
    agent: Usage,
}

/// Measures one entry process and one agent and prints the results as a Markdown table.
pub(super) async fn print_data_path_table(options: &CapacityOptions) -> Result<(), DemoError> {
    let config = FleetConfig::delta()
        .with_entries(1)
        .with_endpoints(1, 0)
        .with_engine_timing(1, 50)
        .with_rules(RULES)
        .with_inventory(&benchmark_inventory());
    let fleet = Fleet::start(config).await?;
    let key = fleet.add_key("load").await?;
    fleet.wait_for_key(0, &key.key).await?;
    let client = fleet.client(0).with_key(&key.key);
    client.chat(MODEL, "warm up", 1, false).await?;

    let before = sample_usage(&fleet)?;
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let after = sample_usage(&fleet)?;
    let cpu_percent = |cpu_time: Duration| cpu_time.as_secs_f64() / options.seconds as f64 * 100.0;
    println!(
        "\n| process | idle CPU % | idle MiB | MiB after load | CPU µs per request of 4 tokens | CPU µs per request of 64 tokens | CPU µs per token |"
    );
    println!("|---|---|---|---|---|---|---|");
    let idle = [
        cpu_percent(cpu_time_between(before.entry, after.entry)),
        cpu_percent(cpu_time_between(before.agent, after.agent)),
    ];
    let mut costs_us = [[0.0; 2]; 2];
    for (column, tokens) in COMPLETION_TOKENS.into_iter().enumerate() {
        let before = sample_usage(&fleet)?;
        send_requests(&client, tokens).await?;
        let after = sample_usage(&fleet)?;
        let per_request_us = |cpu_time: Duration| cpu_time.as_secs_f64() * 1e6 / REQUESTS as f64;
        costs_us[0][column] = per_request_us(cpu_time_between(before.entry, after.entry));
        costs_us[1][column] = per_request_us(cpu_time_between(before.agent, after.agent));
    }
    let after_load = sample_usage(&fleet)?;
    let memory = [
        (after.entry.resident_mib, after_load.entry.resident_mib),
        (after.agent.resident_mib, after_load.agent.resident_mib),
    ];
    for (row, name) in ["entry", "agent"].into_iter().enumerate() {
        let [short_us, long_us] = costs_us[row];
        let per_token_us =
            (long_us - short_us) / (COMPLETION_TOKENS[1] - COMPLETION_TOKENS[0]) as f64;
        let (idle_mib, after_load_mib) = memory[row];
        println!(
            "| {name} | {:.2} | {idle_mib:.0} | {after_load_mib:.0} | {short_us:.0} | {long_us:.0} | {per_token_us:.1} |",
            idle[row]
        );
    }
    print_latency_ratio(&fleet, &client).await
}

/// Compares the duration of a streamed request through entry process and agent with that of a
/// direct request to the engine.
async fn print_latency_ratio(fleet: &Fleet, client: &ApiClient) -> Result<(), DemoError> {
    const ITERATIONS: u32 = 100;
    let engine = ApiClient::new(fleet.endpoints[0].http_address());
    let mut times = [Duration::ZERO; 2];
    for _ in 0..ITERATIONS {
        for (time, target) in times.iter_mut().zip([&engine, client]) {
            let started = Instant::now();
            target
                .chat(MODEL, "which stems are fresh", 16, true)
                .await?;
            *time += started.elapsed();
        }
    }
    let [direct, proxied] = times.map(|time| time.as_secs_f64() * 1e3 / f64::from(ITERATIONS));
    println!(
        "\nStreamed request of 16 tokens, mean of {ITERATIONS}: {direct:.1} ms at the engine, \
         {proxied:.1} ms through entry and agent, ratio {:.2}",
        proxied / direct
    );
    Ok(())
}

async fn send_requests(client: &ApiClient, tokens: u64) -> Result<(), DemoError> {
    let senders: Vec<_> = (0..CONCURRENCY)
        .map(|sender| {
            let client = client.clone();
            tokio::spawn(async move {
                for request in (sender..REQUESTS).step_by(CONCURRENCY) {
                    let prompt = format!("price list {request}");
                    let response = client.chat(MODEL, &prompt, tokens, true).await?;
                    if response.events().is_none() {
                        let body = String::from_utf8_lossy(&response.body).into_owned();
                        return Err(DemoError::UnexpectedResponse(body));
                    }
                }
                Ok(())
            })
        })
        .collect();
    for sender in senders {
        sender
            .await
            .map_err(|error| DemoError::NoResponse(error.to_string()))??;
    }
    Ok(())
}

fn sample_usage(fleet: &Fleet) -> Result<UsageSample, DemoError> {
    Ok(UsageSample {
        entry: read_process_usage(fleet.entries.first())?,
        agent: read_process_usage(fleet.agents.first())?,
    })
}

fn cpu_time_between(before: Usage, after: Usage) -> Duration {
    after.cpu.saturating_sub(before.cpu)
}

/// Returns an inventory whose customer has a rate so high that no request is refused.
fn benchmark_inventory() -> String {
    format!(
        "[inventory]\nmodels = 1\nadapters = 0\ncustomers = 1\n[model {MODEL}]\nversion = 1\n\
         memory_mib = 8000\nmax_replicas = 1\nmax_answer_tokens = 512\n[customer load]\n\
         rate_tokens_per_s = 100000000\nburst_tokens = 100000000\nmodels = {MODEL}\nroutes =\n\
         priority = 5\n"
    )
}
