//! Experiment `http`: latency of completions from running entry processes or an engine.

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

use self::call::{CallOutcome, call};
use crate::error::LoadError;
use crate::latency::LatencyHistogram;
use crate::report::{Report, Table};

/// Upper limit of the duration, so that a mistyped argument cannot occupy the machine.
const MAX_SECONDS: u64 = 600;
/// Upper limit of the total number of requests, for the same reason.
const MAX_REQUESTS: u64 = 100_000;
/// Maximum number of concurrent requests per customer. A request beyond it is counted as not sent.
const MAX_IN_FLIGHT: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Load that one customer generates.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerLoad {
    /// Name in the result tables.
    pub name: String,
    /// API key of the customer.
    pub key: String,
    /// Mean request rate; arrivals form a Poisson process.
    pub requests_per_s: f64,
}

/// Targets, duration and composition of the load.
#[derive(Debug, Clone)]
pub struct HttpLoadConfig {
    /// Entry processes, used round-robin.
    pub entries: Vec<SocketAddr>,
    /// An engine that receives the same load afterwards, for comparison.
    pub direct: Option<SocketAddr>,
    /// Customers and their request rates.
    pub customers: Vec<CustomerLoad>,
    /// Model that all requests name.
    pub model: String,
    /// Maximum number of tokens per completion.
    pub max_tokens: u32,
    /// Duration of the load in seconds, limited to `MAX_SECONDS`.
    pub seconds: u64,
    /// Total number of requests, limited to `MAX_REQUESTS` and split evenly over the customers.
    pub requests: u64,
    /// Seed of the random arrival times.
    pub seed: u64,
}

/// Request counts and latencies of one customer.
#[derive(Debug, Clone)]
pub struct CustomerStats {
    name: String,
    pub(crate) time_to_first_token: LatencyHistogram,
    pub(crate) inter_token_latency: LatencyHistogram,
    completed: u64,
    refused: u64,
    failed: u64,
    not_sent: u64,
}

impl CustomerStats {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            time_to_first_token: LatencyHistogram::new(),
            inter_token_latency: LatencyHistogram::new(),
            completed: 0,
            refused: 0,
            failed: 0,
            not_sent: 0,
        }
    }

    /// Returns the numbers of completed, refused and failed requests.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.completed, self.refused, self.failed)
    }

    /// Returns the fraction of all requests, including those not sent, that completed.
    pub fn completion_ratio(&self) -> f64 {
        let all = self.completed + self.refused + self.failed + self.not_sent;
        self.completed as f64 / all.max(1) as f64
    }

    fn record(&mut self, call_outcome: &CallOutcome) {
        match call_outcome {
            CallOutcome::Complete { token_ms } => {
                self.completed += 1;
                if let Some(first_ms) = token_ms.first() {
                    self.time_to_first_token.record_ms(*first_ms);
                }
                for pair in token_ms.windows(2) {
                    self.inter_token_latency.record_ms(pair[1] - pair[0]);
                }
            }
            CallOutcome::Refused => self.refused += 1,
            CallOutcome::Failed => self.failed += 1,
        }
    }
}

/// Selects one of the histograms of a customer.
type SelectHistogram = fn(&CustomerStats) -> &LatencyHistogram;

/// Reads a customer file. Each line holds a name, a key and requests per second.
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
    let mut fields = line.split_whitespace();
    let customer = CustomerLoad {
        name: fields.next()?.to_owned(),
        key: fields.next()?.to_owned(),
        requests_per_s: fields.next()?.parse().ok()?,
    };
    let is_valid = customer.requests_per_s > 0.0 && customer.requests_per_s.is_finite();
    (is_valid && fields.next().is_none()).then_some(customer)
}

/// Runs the load against the entry processes and then, if configured, against the engine.
pub(crate) async fn report(config: &HttpLoadConfig) -> Result<Report, LoadError> {
    let proxied = run_http(config, &config.entries).await?;
    let mut report = Report::new("http")
        .with_paragraph(format!(
            "Entry processes {:?}, model {}, seed {}. Times in milliseconds.",
            config.entries, config.model, config.seed
        ))
        .with_table(customer_table("Through entry processes", &proxied));
    if let Some(worst) = lowest_completion(&proxied) {
        report = report.with_paragraph(format!(
            "Worst-served customer: {}, {:.1}% of its requests complete.",
            worst.name,
            worst.completion_ratio() * 100.0
        ));
    }
    if let Some(address) = config.direct {
        let direct = run_http(config, &[address]).await?;
        report = report
            .with_table(customer_table("Direct to the engine", &direct))
            .with_table(ratio_table(&proxied, &direct));
    }
    Ok(report)
}

/// Sends the configured load to the addresses, round-robin.
///
/// # Errors
///
/// Fails when an address is not a loopback address.
pub async fn run_http(
    config: &HttpLoadConfig,
    addresses: &[SocketAddr],
) -> Result<Vec<CustomerStats>, LoadError> {
    if let Some(address) = addresses.iter().find(|a| !a.ip().is_loopback()) {
        return Err(LoadError::NotLoopback { address: *address });
    }
    let runs = config
        .customers
        .iter()
        .enumerate()
        .map(|(index, customer)| {
            let seed = config.seed.wrapping_add(index as u64);
            run_customer(config, customer, addresses, seed)
        });
    Ok(futures::future::join_all(runs).await)
}

/// Sends one customer's requests as an open loop: the arrival times do not depend on responses.
async fn run_customer(
    config: &HttpLoadConfig,
    customer: &CustomerLoad,
    addresses: &[SocketAddr],
    seed: u64,
) -> CustomerStats {
    let mut rng = StdRng::seed_from_u64(seed);
    let client = HttpClient::new(CONNECT_TIMEOUT);
    let stats = Arc::new(Mutex::new(CustomerStats::new(&customer.name)));
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let start = Instant::now();
    let send_until = start + Duration::from_secs(config.seconds.min(MAX_SECONDS));
    let requests_per_customer =
        config.requests.min(MAX_REQUESTS) / config.customers.len().max(1) as u64;
    let mut next_send = start;
    for request_index in 0..requests_per_customer {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        next_send += Duration::from_secs_f64(-uniform.ln() / customer.requests_per_s);
        if next_send >= send_until || addresses.is_empty() {
            break;
        }
        tokio::time::sleep_until(next_send).await;
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            stats.lock().await.not_sent += 1;
            continue;
        };
        let address = addresses[request_index as usize % addresses.len()];
        let request = call::build_request(address, config, &customer.key, request_index);
        let (client, stats) = (client.clone(), Arc::clone(&stats));
        tokio::spawn(async move {
            let call_outcome = call(&client, request).await;
            stats.lock().await.record(&call_outcome);
            drop(permit);
        });
    }
    // Every call has a timeout, so all permits are released eventually.
    let _all_permits = permits.acquire_many(MAX_IN_FLIGHT as u32).await;
    let stats = stats.lock().await;
    stats.clone()
}

/// Returns the customer with the lowest completion ratio.
fn lowest_completion(customer_stats: &[CustomerStats]) -> Option<&CustomerStats> {
    customer_stats
        .iter()
        .min_by(|a, b| a.completion_ratio().total_cmp(&b.completion_ratio()))
}

fn customer_table(title: &str, customer_stats: &[CustomerStats]) -> Table {
    let rows = customer_stats.iter().map(|stats| {
        let counts = [stats.completed, stats.refused, stats.failed, stats.not_sent];
        let mut row = vec![stats.name.clone()];
        row.extend(counts.map(|count| count.to_string()));
        for histogram in [&stats.time_to_first_token, &stats.inter_token_latency] {
            row.extend(QUANTILES.map(|quantile| histogram.quantile_ms(quantile).to_string()));
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

fn ratio_table(proxied: &[CustomerStats], direct: &[CustomerStats]) -> Table {
    let merge_histograms = |customer_stats: &[CustomerStats], histogram_of: SelectHistogram| {
        let mut all = LatencyHistogram::new();
        for stats in customer_stats {
            all.merge(histogram_of(stats));
        }
        all
    };
    let metrics: [(&str, SelectHistogram); 2] = [
        ("first token", |stats| &stats.time_to_first_token),
        ("between tokens", |stats| &stats.inter_token_latency),
    ];
    let rows = metrics.map(|(name, histogram_of)| {
        let (proxied, direct) = (
            merge_histograms(proxied, histogram_of),
            merge_histograms(direct, histogram_of),
        );
        let mut row = vec![name.to_owned()];
        row.extend(QUANTILES.map(|quantile| {
            let direct_ms = direct.quantile_ms(quantile).max(1) as f64;
            format!("{:.2}", proxied.quantile_ms(quantile) as f64 / direct_ms)
        }));
        row
    });
    Table {
        title: "Ratio of entry processes to the engine".to_owned(),
        columns: ["time", "p50", "p95", "p99"].map(str::to_owned).to_vec(),
        rows: rows.to_vec(),
    }
}

/// Reads the customer file and runs the experiment on a new Tokio runtime.
pub(crate) fn run(config: HttpLoadConfig, customers: &Path) -> Result<Report, LoadError> {
    let config = HttpLoadConfig {
        customers: read_customers(customers)?,
        ..config
    };
    let runtime = tokio::runtime::Runtime::new().map_err(|source| LoadError::Runtime { source })?;
    runtime.block_on(report(&config))
}
