//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::LoadError;
use crate::http::{self, HttpLoadConfig};
use crate::{cost, placement, routing};

/// Runs experiments and writes their results as Markdown tables and SVG plots.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Compares placement policies over several days of generated demand.
    #[bpaf(command)]
    Placement {
        #[bpaf(external(experiment_arguments))]
        /// Seed and output folder.
        experiment: ExperimentArguments,
        /// Days of demand; the first two are not measured.
        #[bpaf(argument("DAYS"), fallback(8), display_fallback)]
        days: u32,
    },
    /// Compares routing policies under delayed cache events and load reports.
    #[bpaf(command)]
    Routing {
        #[bpaf(external(experiment_arguments))]
        /// Seed and output folder.
        experiment: ExperimentArguments,
        /// Number of requests in each run.
        #[bpaf(argument("REQUESTS"), fallback(60_000), display_fallback)]
        requests: u32,
    },
    /// Measures the time per policy decision at fractions of the design size.
    #[bpaf(command)]
    Cost {
        #[bpaf(external(experiment_arguments))]
        /// Seed and output folder.
        experiment: ExperimentArguments,
    },
    /// Sends completion requests to running processes on loopback addresses.
    #[bpaf(command)]
    Http {
        #[bpaf(external(experiment_arguments))]
        /// Seed and output folder.
        experiment: ExperimentArguments,
        /// Address of an entry process; may be repeated.
        #[bpaf(argument("ADDRESS"), some("expected at least one entry address"))]
        entry: Vec<SocketAddr>,
        /// Address of an engine that receives the same load afterwards, for comparison.
        #[bpaf(argument("ADDRESS"))]
        direct: Option<SocketAddr>,
        /// File with one customer per line: name, key and requests per second.
        #[bpaf(argument("FILE"))]
        customers: PathBuf,
        /// Model that all requests name.
        #[bpaf(argument("MODEL"))]
        model: String,
        /// Maximum number of tokens per completion.
        #[bpaf(argument("TOKENS"), fallback(64), display_fallback)]
        max_tokens: u32,
        /// Duration of the load, at most 600.
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        seconds: u64,
        /// Total number of requests over all customers, at most 100000.
        #[bpaf(argument("REQUESTS"), fallback(10_000), display_fallback)]
        requests: u64,
    },
}

/// Arguments that all experiments share.
#[derive(Debug, Clone, Bpaf)]
pub struct ExperimentArguments {
    /// Seed of the generated demand; by default, a random one is chosen and printed.
    #[bpaf(argument("SEED"), fallback_with(random_seed))]
    pub seed: u64,
    /// Folder to which the results are written.
    #[bpaf(argument("FOLDER"), fallback(PathBuf::from("results")))]
    pub out: PathBuf,
}

impl Command {
    /// Runs the experiment and writes its results.
    pub fn execute(&self) -> Result<(), LoadError> {
        let (experiment, report) = match self {
            Self::Placement { experiment, days } => {
                (experiment, placement::report(experiment.seed, *days))
            }
            Self::Routing {
                experiment,
                requests,
            } => (experiment, routing::report(experiment.seed, *requests)),
            Self::Cost { experiment } => (experiment, cost::report(experiment.seed)),
            Self::Http {
                experiment,
                entry,
                direct,
                customers,
                model,
                max_tokens,
                seconds,
                requests,
            } => {
                let config = HttpLoadConfig {
                    entries: entry.clone(),
                    direct: *direct,
                    customers: Vec::new(),
                    model: model.clone(),
                    max_tokens: *max_tokens,
                    seconds: *seconds,
                    requests: *requests,
                    seed: experiment.seed,
                };
                (experiment, http::run(config, customers)?)
            }
        };
        report.write(&experiment.out)?;
        println!("{}", report.to_markdown());
        Ok(())
    }
}

#[expect(clippy::unnecessary_wraps, reason = "bpaf expects a fallible function")]
fn random_seed() -> Result<u64, &'static str> {
    Ok(u64::from(rand::random::<u32>()))
}
