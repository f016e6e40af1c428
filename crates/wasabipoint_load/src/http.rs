//! Experiment `http`: completions against running entry processes or an engine.

mod call;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Mutex, Semaphore};
use tokio::time::Instant;
use wasabipoint_http::HttpClient;

use self::call::{CallEnd, call};
use crate::error::LoadError;
use crate::measures::Waits;
use crate::report::{Report, Table};

/// Bounds of a run, so that a wrong argument cannot occupy the machine.
const MAX_SECONDS: u64 = 600;
const MAX_REQUESTS: u64 = 100_000;
const MAX_IN_FLIGHT: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// A customer that sends completions.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerLoad {
    /// Name in tables.
    pub name: String,
    /// Key of the customer.
    pub key: String,
    /// Mean rate.
    pub requests_per_s: f64,
}

/// What to send, where and for how long.
#[derive(Debug, Clone)]
pub struct HttpPlan {
    /// Entry processes, used in turn.
    pub entries: Vec<SocketAddr>,
    /// An engine that gets the same requests afterwards.
    pub direct: Option<SocketAddr>,
    /// Customers.
    pub customers: Vec<CustomerLoad>,
    /// Model of all requests.
    pub model: String,
    /// Answer length asked for.
    pub max_tokens: u32,
    /// Time during which requests are sent.
    pub seconds: u64,
    /// Requests of all customers together.
    pub requests: u64,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Counts and times of one customer.
#[derive(Debug, Clone)]
pub struct CustomerOutcome {
    name: String,
    pub(crate) first_token: Waits,
    pub(crate) between_tokens: Waits,
    complete: u64,
    refused: u64,
    failed: u64,
    not_sent: u64,
}

impl CustomerOutcome {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            first_token: Waits::new(),
            between_tokens: Waits::new(),
            complete: 0,
            refused: 0,
            failed: 0,
            not_sent: 0,
        }
    }

    /// Requests by their end: complete, refused, failed.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.complete, self.refused, self.failed)
    }

    /// Share of the requests that were completed.
    pub fn complete_share(&self) -> f64 {
        let all = self.complete + self.refused + self.failed + self.not_sent;
        self.complete as f64 / all.max(1) as f64
    }

    fn record(&mut self, end: &CallEnd) {
        match end {
            CallEnd::Complete { token_ms } => {
                self.complete += 1;
                if let Some(first_ms) = token_ms.first() {
                    self.first_token.record_ms(*first_ms);
                }
                for pair in token_ms.windows(2) {
                    self.between_tokens.record_ms(pair[1] - pair[0]);
                }
            }
            CallEnd::Refused => self.refused += 1,
            CallEnd::Failed => self.failed += 1,
        }
    }
}

type SelectWaits = fn(&CustomerOutcome) -> &Waits;

/// Reads customers from lines of name, key and requests per second.
pub fn read_customers(path: &Path) -> Result<Vec<CustomerLoad>, LoadError> {
    let text = std::fs::read_to_string(path).map_err(|source| LoadError::Read {
        path: path.to_owned(),
        source,
    })?;
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| {
            parse_customer(line).ok_or_else(|| LoadError::Customer {
                path: path.to_owned(),
                line: index + 1,
            })
        })
        .collect()
}

fn parse_customer(line: &str) -> Option<CustomerLoad> {
    let mut words = line.split_whitespace();
    let customer = CustomerLoad {
        name: words.next()?.to_owned(),
        key: words.next()?.to_owned(),
        requests_per_s: words.next()?.parse().ok()?,
    };
    let is_valid = customer.requests_per_s > 0.0 && customer.requests_per_s.is_finite();
    (is_valid && words.next().is_none()).then_some(customer)
}

/// Sends the planned requests to the entry processes, then to the engine.
pub(crate) async fn report(plan: &HttpPlan) -> Result<Report, LoadError> {
    let through = run_http(plan, &plan.entries).await?;
    let mut report = Report::new("http")
        .with_paragraph(format!(
            "Entry processes {:?}, model {}, seed {}. Times in milliseconds.",
            plan.entries, plan.model, plan.seed
        ))
        .with_table(customer_table("Through entry processes", &through));
    if let Some(worst) = worst_served(&through) {
        report = report.with_paragraph(format!(
            "Worst-served customer: {}, {:.1}% of its requests complete.",
            worst.name,
            worst.complete_share() * 100.0
        ));
    }
    if let Some(address) = plan.direct {
        let direct = run_http(plan, &[address]).await?;
        report = report
            .with_table(customer_table("Direct to the engine", &direct))
            .with_table(ratio_table(&through, &direct));
    }
    Ok(report)
}

/// Sends the planned requests to the addresses in turn. Only loopback addresses are accepted.
pub async fn run_http(
    plan: &HttpPlan,
    addresses: &[SocketAddr],
) -> Result<Vec<CustomerOutcome>, LoadError> {
    if let Some(address) = addresses.iter().find(|a| !a.ip().is_loopback()) {
        return Err(LoadError::NotLoopback { address: *address });
    }
    let runs = plan.customers.iter().enumerate().map(|(index, customer)| {
        let seed = plan.seed.wrapping_add(index as u64);
        run_customer(plan, customer, addresses, seed)
    });
    Ok(futures::future::join_all(runs).await)
}

/// Sends at the customer's rate, whether or not earlier requests have ended.
async fn run_customer(
    plan: &HttpPlan,
    customer: &CustomerLoad,
    addresses: &[SocketAddr],
    seed: u64,
) -> CustomerOutcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let client = HttpClient::new(CONNECT_TIMEOUT);
    let outcome = Arc::new(Mutex::new(CustomerOutcome::new(&customer.name)));
    let slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let start = Instant::now();
    let last = start + Duration::from_secs(plan.seconds.min(MAX_SECONDS));
    let share = plan.requests.min(MAX_REQUESTS) / plan.customers.len().max(1) as u64;
    let mut next = start;
    for number in 0..share {
        let draw: f64 = rng.random_range(1e-9..1.0);
        next += Duration::from_secs_f64(-draw.ln() / customer.requests_per_s);
        if next >= last || addresses.is_empty() {
            break;
        }
        tokio::time::sleep_until(next).await;
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            outcome.lock().await.not_sent += 1;
            continue;
        };
        let address = addresses[number as usize % addresses.len()];
        let request = call::build_request(address, plan, &customer.key, number);
        let (client, outcome) = (client.clone(), Arc::clone(&outcome));
        tokio::spawn(async move {
            let end = call(&client, request).await;
            outcome.lock().await.record(&end);
            drop(slot);
        });
    }
    // Every call has a deadline, so that all slots return.
    let _all = slots.acquire_many(MAX_IN_FLIGHT as u32).await;
    let outcome = outcome.lock().await;
    outcome.clone()
}

fn worst_served(outcomes: &[CustomerOutcome]) -> Option<&CustomerOutcome> {
    outcomes
        .iter()
        .min_by(|a, b| a.complete_share().total_cmp(&b.complete_share()))
}

fn customer_table(title: &str, outcomes: &[CustomerOutcome]) -> Table {
    let rows = outcomes.iter().map(|outcome| {
        let counts = [
            outcome.complete,
            outcome.refused,
            outcome.failed,
            outcome.not_sent,
        ];
        let mut row = vec![outcome.name.clone()];
        row.extend(counts.map(|count| count.to_string()));
        for waits in [&outcome.first_token, &outcome.between_tokens] {
            row.extend(QUANTILES.map(|quantile| waits.quantile_ms(quantile).to_string()));
        }
        row
    });
    Table {
        title: title.to_owned(),
        columns: [
            "customer",
            "complete",
            "refused",
            "failed",
            "not sent",
            "first token p50",
            "p95",
            "p99",
            "between tokens p50",
            "p95",
            "p99",
        ]
        .map(str::to_owned)
        .to_vec(),
        rows: rows.collect(),
    }
}

fn ratio_table(through: &[CustomerOutcome], direct: &[CustomerOutcome]) -> Table {
    let merge = |outcomes: &[CustomerOutcome], select: SelectWaits| {
        let mut all = Waits::new();
        for outcome in outcomes {
            all.add(select(outcome));
        }
        all
    };
    let selected: [(&str, SelectWaits); 2] = [
        ("first token", |outcome| &outcome.first_token),
        ("between tokens", |outcome| &outcome.between_tokens),
    ];
    let rows = selected.map(|(name, select)| {
        let (through, direct) = (merge(through, select), merge(direct, select));
        let mut row = vec![name.to_owned()];
        row.extend(QUANTILES.map(|quantile| {
            let of_ms = direct.quantile_ms(quantile).max(1) as f64;
            format!("{:.2}", through.quantile_ms(quantile) as f64 / of_ms)
        }));
        row
    });
    Table {
        title: "Ratio of entry processes to the engine".to_owned(),
        columns: ["time", "p50", "p95", "p99"].map(str::to_owned).to_vec(),
        rows: rows.to_vec(),
    }
}

/// Reads the customers and runs the plan on a runtime of its own.
pub(crate) fn run(plan: HttpPlan, customers: &Path) -> Result<Report, LoadError> {
    let plan = HttpPlan {
        customers: read_customers(customers)?,
        ..plan
    };
    let runtime = tokio::runtime::Runtime::new().map_err(|source| LoadError::Runtime { source })?;
    runtime.block_on(report(&plan))
}
