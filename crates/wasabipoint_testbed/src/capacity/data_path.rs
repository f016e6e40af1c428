//! Cost of entry and agent processes, idle and per request and token.

use std::time::Duration;

use tokio::time::Instant;

use crate::caller::Caller;
use crate::demo::DemoError;
use crate::fleet::Fleet;
use crate::plan::FleetPlan;
use crate::usage::Usage;

use super::{CapacityOptions, usage_of};

/// Requests that run at once.
const CONCURRENCY: usize = 32;

/// Requests per measurement.
const REQUESTS: usize = 2_000;

/// Lengths of completions; the slope between them is the cost of a token.
const ANSWER_TOKENS: [u64; 2] = [4, 64];

const MODEL: &str = "stems-small";

/// The lifted rate, so that no request is refused.
const RULES: &str = "[placement]\npolicy = keep_loaded\n[routing]\npolicy = prefix_affinity\n";

/// Processor time of both processes at one moment.
#[derive(Clone, Copy)]
struct Sample {
    entry: Usage,
    agent: Usage,
}

/// Prints the cost of one entry process and one agent.
pub(super) async fn print_data_path_table(options: &CapacityOptions) -> Result<(), DemoError> {
    let plan = FleetPlan::delta()
        .with_entries(1)
        .with_endpoints(1, 0)
        .with_engine_pace(1, 50)
        .with_rules(RULES)
        .with_inventory(&inventory());
    let fleet = Fleet::start(plan).await?;
    let key = fleet.add_key("load").await?;
    fleet.wait_for_key(0, &key.key).await?;
    let caller = fleet.caller(0).with_key(&key.key);
    caller.chat(MODEL, "warm up", 1, false).await?;

    let before = sample(&fleet)?;
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let after = sample(&fleet)?;
    let share = |usage: Duration| usage.as_secs_f64() / options.seconds as f64 * 100.0;
    println!(
        "\n| process | idle CPU % | idle MiB | MiB after load | CPU µs per request of 4 tokens | CPU µs per request of 64 tokens | CPU µs per token |"
    );
    println!("|---|---|---|---|---|---|---|");
    let idle = [
        share(cpu(before.entry, after.entry)),
        share(cpu(before.agent, after.agent)),
    ];
    let mut costs = [[0.0; 2]; 2];
    for (column, tokens) in ANSWER_TOKENS.into_iter().enumerate() {
        let before = sample(&fleet)?;
        send_all(&caller, tokens).await?;
        let after = sample(&fleet)?;
        let per_request = |used: Duration| used.as_secs_f64() * 1e6 / REQUESTS as f64;
        costs[0][column] = per_request(cpu(before.entry, after.entry));
        costs[1][column] = per_request(cpu(before.agent, after.agent));
    }
    let loaded = sample(&fleet)?;
    let memory = [
        (after.entry.resident_mib, loaded.entry.resident_mib),
        (after.agent.resident_mib, loaded.agent.resident_mib),
    ];
    for (row, name) in ["entry", "agent"].into_iter().enumerate() {
        let [short, long] = costs[row];
        let per_token = (long - short) / (ANSWER_TOKENS[1] - ANSWER_TOKENS[0]) as f64;
        let (idle_mib, loaded_mib) = memory[row];
        println!(
            "| {name} | {:.2} | {idle_mib:.0} | {loaded_mib:.0} | {short:.0} | {long:.0} | {per_token:.1} |",
            idle[row]
        );
    }
    print_direct_ratio(&fleet, &caller).await
}

/// Prints the time of a streamed request through entry and agent, as a ratio to the engine alone.
async fn print_direct_ratio(fleet: &Fleet, caller: &Caller) -> Result<(), DemoError> {
    const ROUNDS: u32 = 100;
    let engine = Caller::new(fleet.endpoints[0].http_address());
    let mut times = [Duration::ZERO; 2];
    for _ in 0..ROUNDS {
        for (time, target) in times.iter_mut().zip([&engine, caller]) {
            let started = Instant::now();
            target
                .chat(MODEL, "which stems are fresh", 16, true)
                .await?;
            *time += started.elapsed();
        }
    }
    let [direct, through] = times.map(|time| time.as_secs_f64() * 1e3 / f64::from(ROUNDS));
    println!(
        "\nStreamed request of 16 tokens, mean of {ROUNDS}: {direct:.1} ms at the engine, \
         {through:.1} ms through entry and agent, ratio {:.2}",
        through / direct
    );
    Ok(())
}

async fn send_all(caller: &Caller, tokens: u64) -> Result<(), DemoError> {
    let senders: Vec<_> = (0..CONCURRENCY)
        .map(|sender| {
            let caller = caller.clone();
            tokio::spawn(async move {
                for request in (sender..REQUESTS).step_by(CONCURRENCY) {
                    let prompt = format!("price list {request}");
                    let response = caller.chat(MODEL, &prompt, tokens, true).await?;
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

fn sample(fleet: &Fleet) -> Result<Sample, DemoError> {
    Ok(Sample {
        entry: usage_of(fleet.entries.first())?,
        agent: usage_of(fleet.agents.first())?,
    })
}

fn cpu(before: Usage, after: Usage) -> Duration {
    after.cpu.saturating_sub(before.cpu)
}

fn inventory() -> String {
    format!(
        "[inventory]\nmodels = 1\nadapters = 0\ncustomers = 1\n[model {MODEL}]\nversion = 1\n\
         memory_mib = 8000\nmax_replicas = 1\nmax_answer_tokens = 512\n[customer load]\n\
         rate_tokens_per_s = 100000000\nburst_tokens = 100000000\nmodels = {MODEL}\nroutes =\n\
         priority = 5\n"
    )
}
