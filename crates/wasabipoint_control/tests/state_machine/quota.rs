//! Rate and burst over all entry processes.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wasabipoint_control::{Command, ControlState, Outcome};
use wasabipoint_rpc::{QuotaExchange, QuotaGrants, SliceSettlement};

use crate::samples::{apply, apply_inventory, customer, exchange, inventory};

/// Low, so that tokens granted twice show within the time that a slice is kept.
const RATE: u64 = 40;
const BURST: u64 = 500;
const LIFETIME_MS: u64 = 1_000;
const ENTRIES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// Real time passes.
    Pass(u64),
    /// An entry settles, returns a share of its slices and asks for tokens.
    Exchange {
        entry: usize,
        wanted: u64,
        returned_percent: u64,
        is_answer_lost: bool,
    },
    /// An entry repeats the exchange whose answer was lost.
    Resend { entry: usize },
    /// A copy of an old exchange arrives.
    Late { entry: usize, back: usize },
    /// An entry admits a request and uses a share of its reservation.
    Admit {
        entry: usize,
        tokens: u64,
        used_percent: u64,
    },
    /// An entry process dies and starts again.
    Restart { entry: usize },
    /// Another leader takes over; no command is stamped for a while.
    ChangeLeader { pause_ms: u64 },
}

/// Often the whole, because the bounds are met by large requests.
fn share(whole: u64) -> impl Strategy<Value = u64> {
    prop_oneof![Just(whole), 1..=whole]
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    prop_oneof![
        4 => (1_u64..1_500).prop_map(Step::Pass),
        6 => (entry.clone(), share(BURST), 0_u64..=100, prop::bool::weighted(0.3)).prop_map(
            |(entry, wanted, returned_percent, is_answer_lost)| Step::Exchange {
                entry, wanted, returned_percent, is_answer_lost,
            }
        ),
        3 => entry.clone().prop_map(|entry| Step::Resend { entry }),
        1 => (entry.clone(), 0_usize..4).prop_map(|(entry, back)| Step::Late { entry, back }),
        8 => (entry.clone(), share(BURST), share(100)).prop_map(
            |(entry, tokens, used_percent)| Step::Admit { entry, tokens, used_percent }
        ),
        1 => entry.prop_map(|entry| Step::Restart { entry }),
        1 => (0_u64..2_000).prop_map(|pause_ms| Step::ChangeLeader { pause_ms }),
    ]
}

#[derive(Debug, Default)]
struct HeldSlice {
    tokens: u64,
    spent: u64,
    usable_until_ms: u64,
}

#[derive(Debug, Default)]
struct Entry {
    incarnation: u64,
    sequence: u64,
    slices: BTreeMap<u64, HeldSlice>,
    unanswered: Option<QuotaExchange>,
    sent: Vec<QuotaExchange>,
}

struct World {
    state: ControlState,
    real_ms: u64,
    /// How far log time is behind real time.
    log_lag_ms: u64,
    entries: Vec<Entry>,
    /// Admitted tokens with the real time of their admission.
    admitted: Vec<(u64, u64)>,
}

impl World {
    fn new() -> Self {
        let mut state = ControlState::new();
        let listed = inventory(Vec::new(), vec![customer(RATE, BURST)]);
        apply(&mut state, 0, apply_inventory(0, 1, listed));
        Self {
            state,
            real_ms: 0,
            log_lag_ms: 0,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            admitted: Vec::new(),
        }
    }

    fn send(&mut self, exchange: QuotaExchange) -> Option<QuotaGrants> {
        let command = Command::ExchangeQuota {
            exchange,
            lifetime_ms: LIFETIME_MS,
        };
        let log_ms = self.real_ms - self.log_lag_ms;
        match apply(&mut self.state, log_ms, command) {
            Outcome::Quota(grants) => Some(grants),
            _ => None,
        }
    }

    fn take_answer(&mut self, entry: usize, sent_ms: u64, grants: Option<QuotaGrants>) {
        let entry = &mut self.entries[entry];
        entry.unanswered = None;
        for slice in grants.into_iter().flat_map(|grants| grants.slices) {
            let held = HeldSlice {
                tokens: slice.tokens,
                spent: 0,
                usable_until_ms: sent_ms + slice.lifetime_ms,
            };
            entry.slices.insert(slice.slice_id, held);
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Pass(ms) => self.real_ms += ms,
            Step::Exchange {
                entry,
                wanted,
                returned_percent,
                is_answer_lost,
            } => {
                if self.entries[entry].unanswered.is_some() {
                    return;
                }
                let exchange = self.next_exchange(entry, wanted, returned_percent);
                let grants = self.send(exchange);
                if !is_answer_lost {
                    self.take_answer(entry, self.real_ms, grants);
                }
            }
            Step::Resend { entry } => {
                if let Some(exchange) = self.entries[entry].unanswered.clone() {
                    let grants = self.send(exchange);
                    self.take_answer(entry, self.real_ms, grants);
                }
            }
            Step::Late { entry, back } => {
                let sent = &self.entries[entry].sent;
                // The last exchange is covered by `Resend`; its late copy would get an answer that
                // nobody takes in.
                let older = sent.len().checked_sub(back + 1);
                if let Some(exchange) = older.map(|index| sent[index].clone()) {
                    self.send(exchange);
                }
            }
            Step::Admit {
                entry,
                tokens,
                used_percent,
            } => self.admit(entry, tokens, used_percent),
            Step::Restart { entry } => {
                let entry = &mut self.entries[entry];
                let incarnation = entry.incarnation + 1;
                let sent = std::mem::take(&mut entry.sent);
                *entry = Entry {
                    incarnation,
                    sent,
                    ..Entry::default()
                };
            }
            Step::ChangeLeader { pause_ms } => {
                self.real_ms += pause_ms;
                self.log_lag_ms = self.real_ms - self.state.time_ms;
            }
        }
    }

    fn next_exchange(&mut self, entry: usize, wanted: u64, returned: u64) -> QuotaExchange {
        let now_ms = self.real_ms;
        let held = &mut self.entries[entry];
        held.slices
            .retain(|_, slice| slice.usable_until_ms > now_ms);
        let mut settlements = Vec::new();
        for (slice_id, slice) in &mut held.slices {
            let returned_tokens = slice.tokens * returned / 100;
            slice.tokens -= returned_tokens;
            settlements.push(SliceSettlement {
                slice_id: *slice_id,
                spent_tokens: std::mem::take(&mut slice.spent),
                returned_tokens,
            });
        }
        held.sequence += 1;
        let exchange = exchange(entry, held.incarnation, held.sequence, wanted, settlements);
        held.unanswered = Some(exchange.clone());
        held.sent.push(exchange.clone());
        exchange
    }

    fn admit(&mut self, entry: usize, tokens: u64, used_percent: u64) {
        let now_ms = self.real_ms;
        let mut slices = self.entries[entry].slices.values_mut();
        let usable = slices.find(|slice| slice.usable_until_ms > now_ms && slice.tokens > 0);
        if let Some(slice) = usable {
            // The reservation is settled at once: the unused part stays in the slice.
            let used = tokens.min(slice.tokens) * used_percent / 100;
            slice.tokens -= used;
            slice.spent += used;
            self.admitted.push((now_ms, used));
        }
    }

    fn check_bound(&self) -> Result<(), TestCaseError> {
        for bucket in self.state.quota.buckets.values() {
            let held_millitokens = bucket.level_millitokens + bucket.outstanding_tokens * 1_000;
            prop_assert!(
                held_millitokens <= BURST * 1_000,
                "bucket over its burst: {bucket:?}"
            );
        }
        // Tokens that an entry can still use or settle are in control's record of the slice.
        for (slice_id, slice) in self.entries.iter().flat_map(|entry| &entry.slices) {
            let held = slice.tokens + slice.spent;
            if slice.usable_until_ms > self.real_ms && held > 0 {
                let record = self.state.quota.slices.get(slice_id);
                let recorded = record.map_or(0, |record| record.tokens);
                prop_assert!(
                    held <= recorded,
                    "slice {slice_id}: {held} held, {recorded} recorded"
                );
            }
        }
        Ok(())
    }

    fn check_windows(&self) -> Result<(), TestCaseError> {
        for (first, (start_ms, _)) in self.admitted.iter().enumerate() {
            let mut sum = 0;
            for (end_ms, tokens) in &self.admitted[first..] {
                sum += tokens;
                let bound = BURST * 1_000 + RATE * (end_ms - start_ms);
                prop_assert!(
                    sum * 1_000 <= bound,
                    "{sum} tokens from {start_ms} to {end_ms} ms"
                );
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a customer that gets more than its rate and burst in some window, through
    /// expiry, repeated and late exchanges, lost entries or a change of the leader.
    #[test]
    fn windows_stay_within_rate_and_burst(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
            world.check_bound()?;
        }
        world.check_windows()?;
    }
}

/// Guards against a bucket that is refilled by removing its customer and adding it again.
#[test]
fn removing_and_adding_a_customer_does_not_refill_its_bucket() {
    let mut state = ControlState::new();
    let listed = inventory(Vec::new(), vec![customer(RATE, BURST)]);
    apply(&mut state, 0, apply_inventory(0, 1, listed.clone()));
    let take = |state: &mut ControlState, time_ms, sequence| {
        let command = Command::ExchangeQuota {
            exchange: exchange(0, 1, sequence, BURST, Vec::new()),
            lifetime_ms: LIFETIME_MS,
        };
        let Outcome::Quota(grants) = apply(state, time_ms, command) else {
            panic!("an exchange of the current run is answered");
        };
        grants.slices.iter().map(|slice| slice.tokens).sum::<u64>()
    };
    assert_eq!(take(&mut state, 0, 1), BURST);
    let empty = inventory(Vec::new(), Vec::new());
    apply(&mut state, 10, apply_inventory(1, 2, empty));
    apply(&mut state, 20, apply_inventory(2, 3, listed));
    assert_eq!(take(&mut state, 30, 2), 0);
}
