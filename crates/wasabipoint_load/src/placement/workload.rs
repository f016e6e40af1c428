//! Generated demand for the deployments that section 1.6 of the design describes.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_kernel::{EndpointId, FailureDomain, ModelName, StoreRules};

pub(crate) const DAY_MS: u64 = 86_400_000;
const MINUTE_MS: u64 = 60_000;
const DAWN_MS: u64 = 6 * 60 * MINUTE_MS;

/// Read rate of checkpoints from the weight store.
const REMOTE_MIB_PER_S: u64 = 1_024;
/// Read rate of checkpoints on a local disk.
const DISK_MIB_PER_S: u64 = 4_096;
/// Read rate of checkpoints in host memory.
const MEMORY_MIB_PER_S: u64 = 16_384;

/// A deployment that section 1.6 of the design describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReferenceDeployment {
    /// Ten endpoints in four failure domains.
    Delta,
    /// Twelve endpoints in three failure domains.
    GujaratWest,
}

/// Endpoints, models and arrivals of one run.
pub(crate) struct Workload {
    pub(crate) endpoints: Vec<(EndpointId, FailureDomain)>,
    pub(crate) endpoint_memory_mib: u64,
    pub(crate) store: StoreRules,
    pub(crate) models: Vec<ModelSpec>,
    /// Arrivals in chronological order: milliseconds since the start and index of the model.
    pub(crate) arrivals: Vec<(u64, usize)>,
}

pub(crate) struct ModelSpec {
    pub(crate) name: ModelName,
    pub(crate) memory_mib: u64,
    pub(crate) remote_load_ms: u64,
    /// Load times on the endpoints that hold a checkpoint.
    pub(crate) local_loads: Vec<(EndpointId, u64)>,
    demand_pattern: DemandPattern,
    /// Requests within the first two seconds of a session, besides the one that opens it.
    burst_requests: u64,
    /// Mean time between the later requests of a session.
    mean_gap_ms: u64,
}

/// Names of the demand patterns in the result tables.
pub(crate) const DEMAND_PATTERN_NAMES: [&str; 3] = ["dawn", "daytime", "rare"];

/// When a model is requested.
enum DemandPattern {
    /// One session every morning, shortly after dawn.
    Dawn { offset_ms: u64 },
    /// One or two sessions at the same times every day.
    Daytime { starts_ms: Vec<u64> },
    /// A session at a random time on one day in five.
    Rare,
}

impl ReferenceDeployment {
    /// Name in the result tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Delta => "Delta",
            Self::GujaratWest => "Gujarat-west",
        }
    }

    /// Returns the number of endpoints, the failure domains, and the loads per second of the store.
    fn topology(self) -> (usize, &'static [&'static str], u32) {
        match self {
            Self::Delta => (10, &["Tanta", "Mansoura", "Zagazig", "Banha"], 2),
            Self::GujaratWest => (12, &["Rajkot", "Jamnagar", "Bhavnagar"], 3),
        }
    }
}

impl Workload {
    /// Generates endpoints, 30 models and the arrivals of the given number of days. With irregular
    /// demand, sessions are skipped, shifted and added at random.
    pub(crate) fn generate(
        deployment: ReferenceDeployment,
        is_irregular: bool,
        days: u32,
        seed: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ deployment.name().len() as u64);
        let (endpoint_count, failure_domains, loads_per_s) = deployment.topology();
        let endpoints: Vec<_> = (0..endpoint_count)
            .map(|index| {
                let failure_domain =
                    FailureDomain::new(failure_domains[index % failure_domains.len()]);
                (EndpointId::new(format!("endpoint-{index}")), failure_domain)
            })
            .collect();
        let models: Vec<ModelSpec> = (0..30)
            .map(|index| ModelSpec::generate(index, &endpoints, &mut rng))
            .collect();
        let mut arrivals = Vec::new();
        for day in 0..u64::from(days) {
            for (index, model) in models.iter().enumerate() {
                let mut sessions = model.session_starts(&mut rng);
                if is_irregular {
                    sessions = perturb_sessions(&sessions, &mut rng);
                }
                for start_ms in sessions {
                    let start_ms = day * DAY_MS + start_ms;
                    let arrivals_ms = model.session_arrivals(start_ms, &mut rng);
                    arrivals.extend(arrivals_ms.map(|arrival_ms| (arrival_ms, index)));
                }
            }
        }
        arrivals.retain(|(arrival_ms, _)| *arrival_ms < u64::from(days) * DAY_MS);
        arrivals.sort_unstable();
        Self {
            endpoints,
            endpoint_memory_mib: 80 * 1_024,
            store: StoreRules {
                loads_per_s,
                loads_at_once: 4,
                adapters_in_transit: 30,
            },
            models,
            arrivals,
        }
    }
}

impl ModelSpec {
    fn generate(index: usize, endpoints: &[(EndpointId, FailureDomain)], rng: &mut StdRng) -> Self {
        const MODEL_SIZES_GIB: [u64; 5] = [16, 24, 32, 48, 64];
        let memory_mib = MODEL_SIZES_GIB[rng.random_range(0..MODEL_SIZES_GIB.len())] * 1_024;
        // Half of the models become active at dawn. At the design size, 51% do so within an hour.
        let demand_pattern = match index {
            0..15 => DemandPattern::Dawn {
                offset_ms: rng.random_range(0..20 * MINUTE_MS),
            },
            15..25 => DemandPattern::Daytime {
                starts_ms: (0..rng.random_range(1..3))
                    .map(|_| rng.random_range(8 * 60..20 * 60) * MINUTE_MS)
                    .collect(),
            },
            _ => DemandPattern::Rare,
        };
        // The first three VMs have local disks. Any VM may have a checkpoint in memory.
        let mut local_loads = Vec::new();
        for (position, (endpoint, _)) in endpoints.iter().enumerate() {
            if rng.random_bool(0.02) {
                let load_ms = memory_mib * 1_000 / MEMORY_MIB_PER_S;
                local_loads.push((endpoint.clone(), load_ms));
            } else if position < 3 && rng.random_bool(0.15) {
                let load_ms = memory_mib * 1_000 / DISK_MIB_PER_S;
                local_loads.push((endpoint.clone(), load_ms));
            }
        }
        Self {
            name: ModelName::new(format!("model-{index:02}")),
            memory_mib,
            remote_load_ms: memory_mib * 1_000 / REMOTE_MIB_PER_S,
            local_loads,
            demand_pattern,
            burst_requests: rng.random_range(1..8),
            mean_gap_ms: rng.random_range(4_000..60_000),
        }
    }

    /// Returns the index of the demand pattern in `DEMAND_PATTERN_NAMES`.
    pub(crate) fn demand_pattern_index(&self) -> usize {
        match self.demand_pattern {
            DemandPattern::Dawn { .. } => 0,
            DemandPattern::Daytime { .. } => 1,
            DemandPattern::Rare => 2,
        }
    }

    fn session_starts(&self, rng: &mut StdRng) -> Vec<u64> {
        match &self.demand_pattern {
            DemandPattern::Dawn { offset_ms } => {
                vec![DAWN_MS + offset_ms + jitter_ms(6 * MINUTE_MS, rng)]
            }
            DemandPattern::Daytime { starts_ms } => starts_ms
                .iter()
                .map(|start_ms| start_ms + jitter_ms(10 * MINUTE_MS, rng))
                .collect(),
            DemandPattern::Rare if rng.random_bool(0.2) => vec![rng.random_range(0..DAY_MS)],
            DemandPattern::Rare => Vec::new(),
        }
    }

    /// Returns the arrivals of a session: a burst within two seconds, then single requests.
    fn session_arrivals(
        &self,
        start_ms: u64,
        rng: &mut StdRng,
    ) -> impl Iterator<Item = u64> + use<> {
        let length_ms = rng.random_range(20..90) * MINUTE_MS;
        let mut arrivals_ms = vec![start_ms];
        arrivals_ms.extend((0..self.burst_requests).map(|_| start_ms + rng.random_range(0..2_000)));
        let mut next_ms = start_ms;
        while next_ms < start_ms + length_ms {
            next_ms += 1 + rng.random_range(0..2 * self.mean_gap_ms);
            arrivals_ms.push(next_ms);
        }
        arrivals_ms.into_iter()
    }
}

/// Returns the sum of three uniform samples, which approximates a normal distribution and is at
/// most `span_ms`.
fn jitter_ms(span_ms: u64, rng: &mut StdRng) -> u64 {
    (0..3).map(|_| rng.random_range(0..=span_ms / 3)).sum()
}

/// Skips 10% of the sessions, shifts 10% by up to an hour either way, and adds a session at a
/// random time on 10% of the days.
fn perturb_sessions(starts_ms: &[u64], rng: &mut StdRng) -> Vec<u64> {
    let mut perturbed = Vec::new();
    for start_ms in starts_ms {
        match rng.random_range(0..10) {
            0 => {}
            1 => {
                let earliest_ms = start_ms.saturating_sub(60 * MINUTE_MS);
                perturbed.push(rng.random_range(earliest_ms..start_ms + 60 * MINUTE_MS));
            }
            _ => perturbed.push(*start_ms),
        }
    }
    if rng.random_bool(0.1) {
        perturbed.push(rng.random_range(0..DAY_MS));
    }
    perturbed
}
