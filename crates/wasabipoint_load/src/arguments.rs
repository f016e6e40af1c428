//! Command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::LoadError;
use crate::http::{self, HttpPlan};
use crate::{cost, placement, routing};

/// Runs experiments and writes their results as Markdown tables and SVG plots.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Compares placement policies over several days of generated demand.
    #[bpaf(command)]
    Placement {
        #[bpaf(external(experiment))]
        /// Seed and folder.
        experiment: Experiment,
        /// Days of demand; the first two are not measured.
        #[bpaf(argument("DAYS"), fallback(8), display_fallback)]
        days: u32,
    },
    /// Compares routing policies under late cache events and load reports.
    #[bpaf(command)]
    Routing {
        #[bpaf(external(experiment))]
        /// Seed and folder.
        experiment: Experiment,
        /// Requests of each run.
        #[bpaf(argument("REQUESTS"), fallback(60_000), display_fallback)]
        requests: u32,
    },
    /// Measures the time per decision at fractions of the design size.
    #[bpaf(command)]
    Cost {
        #[bpaf(external(experiment))]
        /// Seed and folder.
        experiment: Experiment,
    },
    /// Sends completions to running processes on loopback addresses.
    #[bpaf(command)]
    Http {
        #[bpaf(external(experiment))]
        /// Seed and folder.
        experiment: Experiment,
        /// Address of an entry process; may be repeated.
        #[bpaf(argument("ADDRESS"), some("expected at least one entry address"))]
        entry: Vec<SocketAddr>,
        /// Address of an engine that gets the same requests afterwards.
        #[bpaf(argument("ADDRESS"))]
        direct: Option<SocketAddr>,
        /// File with one customer a line: name, key and requests per second.
        #[bpaf(argument("FILE"))]
        customers: PathBuf,
        /// Model of all requests.
        #[bpaf(argument("MODEL"))]
        model: String,
        /// Answer length asked for.
        #[bpaf(argument("TOKENS"), fallback(64), display_fallback)]
        max_tokens: u32,
        /// Time during which requests are sent, at most 600.
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        seconds: u64,
        /// Requests of all customers together, at most 100000.
        #[bpaf(argument("REQUESTS"), fallback(10_000), display_fallback)]
        requests: u64,
    },
}

/// Arguments of every experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Experiment {
    /// Seed of the generated demand; a random one is chosen and printed by default.
    #[bpaf(argument("SEED"), fallback_with(random_seed))]
    pub seed: u64,
    /// Folder for the results.
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
                let plan = HttpPlan {
                    entries: entry.clone(),
                    direct: *direct,
                    customers: Vec::new(),
                    model: model.clone(),
                    max_tokens: *max_tokens,
                    seconds: *seconds,
                    requests: *requests,
                    seed: experiment.seed,
                };
                (experiment, http::run(plan, customers)?)
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
