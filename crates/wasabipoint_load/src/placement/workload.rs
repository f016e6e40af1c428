//! Generated demand of the deployments of section 1.6 of the design.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_kernel::{EndpointId, FailureDomain, ModelName, StoreRules};

pub(crate) const DAY_MS: u64 = 86_400_000;
const MINUTE_MS: u64 = 60_000;
const DAWN_MS: u64 = 6 * 60 * MINUTE_MS;

/// Checkpoint bytes that a load from the weight store reads per millisecond, in MiB per second.
const REMOTE_MIB_PER_S: u64 = 1_024;
const DISK_MIB_PER_S: u64 = 4_096;
const MEMORY_MIB_PER_S: u64 = 16_384;

/// A deployment of section 1.6 of the design.
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
    /// Arrivals in order of time: milliseconds since the start and the index of the model.
    pub(crate) arrivals: Vec<(u64, usize)>,
}

pub(crate) struct ModelSpec {
    pub(crate) name: ModelName,
    pub(crate) memory_mib: u64,
    pub(crate) remote_load_ms: u64,
    pub(crate) local_loads: Vec<(EndpointId, u64)>,
    habit: Habit,
    burst: u64,
    gap_ms: u64,
}

/// Names of the habits in tables.
pub(crate) const HABITS: [&str; 3] = ["dawn", "daytime", "rare"];

/// When a model is requested.
enum Habit {
    /// Every morning, shortly after dawn.
    Dawn { offset_ms: u64 },
    /// At the same times of every day.
    Daytime { starts_ms: Vec<u64> },
    /// At any time, on some days.
    Rare,
}

impl ReferenceDeployment {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Delta => "Delta",
            Self::GujaratWest => "Gujarat-west",
        }
    }

    fn shape(self) -> (usize, &'static [&'static str], u32) {
        match self {
            Self::Delta => (10, &["Tanta", "Mansoura", "Zagazig", "Banha"], 2),
            Self::GujaratWest => (12, &["Rajkot", "Jamnagar", "Bhavnagar"], 3),
        }
    }
}

impl Workload {
    /// Generates endpoints, 30 models and the arrivals of some days. Irregular demand skips and
    /// moves sessions, and any model may be requested at any time.
    pub(crate) fn generate(
        deployment: ReferenceDeployment,
        is_irregular: bool,
        days: u32,
        seed: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ deployment.name().len() as u64);
        let (count, domains, loads_per_s) = deployment.shape();
        let endpoints: Vec<_> = (0..count)
            .map(|index| {
                let domain = FailureDomain::new(domains[index % domains.len()]);
                (EndpointId::new(format!("endpoint-{index}")), domain)
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
                    sessions = make_irregular(&sessions, &mut rng);
                }
                for start_ms in sessions {
                    let start_ms = day * DAY_MS + start_ms;
                    let requests = model.session(start_ms, &mut rng);
                    arrivals.extend(requests.map(|arrival_ms| (arrival_ms, index)));
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
        const SIZES_GIB: [u64; 5] = [16, 24, 32, 48, 64];
        let memory_mib = SIZES_GIB[rng.random_range(0..SIZES_GIB.len())] * 1_024;
        // Half of the models become active at dawn, as 51% do within an hour at the design size.
        let habit = match index {
            0..15 => Habit::Dawn {
                offset_ms: rng.random_range(0..20 * MINUTE_MS),
            },
            15..25 => Habit::Daytime {
                starts_ms: (0..rng.random_range(1..3))
                    .map(|_| rng.random_range(8 * 60..20 * 60) * MINUTE_MS)
                    .collect(),
            },
            _ => Habit::Rare,
        };
        // The first three VMs have disks; a checkpoint may also be in the memory of any VM.
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
            habit,
            burst: rng.random_range(1..8),
            gap_ms: rng.random_range(4_000..60_000),
        }
    }

    /// Index of the habit in `HABITS`.
    pub(crate) fn habit_index(&self) -> usize {
        match self.habit {
            Habit::Dawn { .. } => 0,
            Habit::Daytime { .. } => 1,
            Habit::Rare => 2,
        }
    }

    fn session_starts(&self, rng: &mut StdRng) -> Vec<u64> {
        match &self.habit {
            Habit::Dawn { offset_ms } => {
                vec![DAWN_MS + offset_ms + jitter_ms(6 * MINUTE_MS, rng)]
            }
            Habit::Daytime { starts_ms } => starts_ms
                .iter()
                .map(|start_ms| start_ms + jitter_ms(10 * MINUTE_MS, rng))
                .collect(),
            Habit::Rare if rng.random_bool(0.2) => vec![rng.random_range(0..DAY_MS)],
            Habit::Rare => Vec::new(),
        }
    }

    /// A session opens with a burst over two seconds and goes on with single requests.
    fn session(&self, start_ms: u64, rng: &mut StdRng) -> impl Iterator<Item = u64> + use<> {
        let length_ms = rng.random_range(20..90) * MINUTE_MS;
        let mut requests = vec![start_ms];
        requests.extend((0..self.burst).map(|_| start_ms + rng.random_range(0..2_000)));
        let mut next_ms = start_ms;
        while next_ms < start_ms + length_ms {
            next_ms += 1 + rng.random_range(0..2 * self.gap_ms);
            requests.push(next_ms);
        }
        requests.into_iter()
    }
}

/// Sum of three even draws: bell-shaped and at most `span_ms`.
fn jitter_ms(span_ms: u64, rng: &mut StdRng) -> u64 {
    (0..3).map(|_| rng.random_range(0..=span_ms / 3)).sum()
}

/// Skips a tenth of the sessions, moves a tenth by up to an hour either way, and adds a session
/// at a random time on a tenth of the days.
fn make_irregular(starts_ms: &[u64], rng: &mut StdRng) -> Vec<u64> {
    let mut irregular = Vec::new();
    for start_ms in starts_ms {
        match rng.random_range(0..10) {
            0 => {}
            1 => {
                let earliest_ms = start_ms.saturating_sub(60 * MINUTE_MS);
                irregular.push(rng.random_range(earliest_ms..start_ms + 60 * MINUTE_MS));
            }
            _ => irregular.push(*start_ms),
        }
    }
    if rng.random_bool(0.1) {
        irregular.push(rng.random_range(0..DAY_MS));
    }
    irregular
}
