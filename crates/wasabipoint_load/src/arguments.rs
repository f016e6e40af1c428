//! Command line.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::LoadError;
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
