//! Limits on rate and burst over all entry processes.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wasabipoint_control::{Command, CommandOutcome, ControlState};
use wasabipoint_rpc::{QuotaExchange, QuotaGrants, SliceSettlement};

use crate::samples::{apply, apply_inventory, customer, exchange, inventory};

/// Low enough that the refill during a slice's lifetime doesn't hide tokens that were granted
/// twice.
const RATE_TOKENS_PER_S: u64 = 40;
const BURST_TOKENS: u64 = 500;
const LIFETIME_MS: u64 = 1_000;
const ENTRIES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// Real time passes by this many milliseconds.
    AdvanceTime(u64),
    /// An entry settles, returns a share of its slices and asks for tokens.
    Exchange {
        entry: usize,
        wanted: u64,
        returned_percent: u64,
        is_reply_lost: bool,
    },
    /// An entry resends the exchange whose reply was lost.
    Resend { entry: usize },
    /// Control receives a copy of an old exchange.
    DeliverOld { entry: usize, back: usize },
    /// An entry reserves tokens for a request, which then uses a share of them.
    UseTokens {
        entry: usize,
        tokens: u64,
        used_percent: u64,
    },
    /// An entry process restarts without its state.
    Restart { entry: usize },
    /// The leader changes, and no command is stamped for some time.
    ChangeLeader { pause_ms: u64 },
}

/// Samples the whole in at least half of the cases, because large requests reach the limits.
fn share(whole: u64) -> impl Strategy<Value = u64> {
    prop_oneof![Just(whole), 1..=whole]
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    prop_oneof![
        4 => (1_u64..1_500).prop_map(Step::AdvanceTime),
        6 => (entry.clone(), share(BURST_TOKENS), 0_u64..=100, prop::bool::weighted(0.3)).prop_map(
            |(entry, wanted, returned_percent, is_reply_lost)| Step::Exchange {
                entry, wanted, returned_percent, is_reply_lost,
            }
        ),
        3 => entry.clone().prop_map(|entry| Step::Resend { entry }),
        1 => (entry.clone(), 0_usize..4).prop_map(|(entry, back)| Step::DeliverOld { entry, back }),
        8 => (entry.clone(), share(BURST_TOKENS), share(100)).prop_map(
            |(entry, tokens, used_percent)| Step::UseTokens { entry, tokens, used_percent }
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
    pending_exchange: Option<QuotaExchange>,
    sent_exchanges: Vec<QuotaExchange>,
}

struct Simulation {
    state: ControlState,
    real_time_ms: u64,
    /// How far log time is behind real time.
    log_lag_ms: u64,
    entries: Vec<Entry>,
    /// Admitted tokens with the real time of their admission.
    admissions: Vec<(u64, u64)>,
}

impl Simulation {
    fn new() -> Self {
        let mut state = ControlState::new();
        let listed = inventory(Vec::new(), vec![customer(RATE_TOKENS_PER_S, BURST_TOKENS)]);
        apply(&mut state, 0, apply_inventory(0, 1, listed));
        Self {
            state,
            real_time_ms: 0,
            log_lag_ms: 0,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            admissions: Vec::new(),
        }
    }

    fn deliver(&mut self, exchange: QuotaExchange) -> Option<QuotaGrants> {
        let command = Command::ExchangeQuota {
            exchange,
            lifetime_ms: LIFETIME_MS,
        };
        let log_ms = self.real_time_ms - self.log_lag_ms;
        match apply(&mut self.state, log_ms, command) {
            CommandOutcome::Quota(grants) => Some(grants),
            _ => None,
        }
    }

    fn receive_grants(&mut self, entry: usize, sent_ms: u64, grants: Option<QuotaGrants>) {
        let entry = &mut self.entries[entry];
        entry.pending_exchange = None;
        for slice in grants.into_iter().flat_map(|grants| grants.slices) {
            let held = HeldSlice {
                tokens: slice.tokens,
                spent: 0,
                usable_until_ms: sent_ms + slice.lifetime_ms,
            };
            entry.slices.insert(slice.slice_id, held);
        }
    }

    fn execute(&mut self, step: &Step) {
        match *step {
            Step::AdvanceTime(ms) => self.real_time_ms += ms,
            Step::Exchange {
                entry,
                wanted,
                returned_percent,
                is_reply_lost,
            } => {
                if self.entries[entry].pending_exchange.is_some() {
                    return;
                }
                let exchange = self.next_exchange(entry, wanted, returned_percent);
                let grants = self.deliver(exchange);
                if !is_reply_lost {
                    self.receive_grants(entry, self.real_time_ms, grants);
                }
            }
            Step::Resend { entry } => {
                if let Some(exchange) = self.entries[entry].pending_exchange.clone() {
                    let grants = self.deliver(exchange);
                    self.receive_grants(entry, self.real_time_ms, grants);
                }
            }
            Step::DeliverOld { entry, back } => {
                let sent_exchanges = &self.entries[entry].sent_exchanges;
                // The reply is discarded: no entry receives the reply to a delayed copy, and
                // `Resend` covers the reply to the last exchange.
                let older = sent_exchanges.len().checked_sub(back + 1);
                if let Some(exchange) = older.map(|index| sent_exchanges[index].clone()) {
                    self.deliver(exchange);
                }
            }
            Step::UseTokens {
                entry,
                tokens,
                used_percent,
            } => self.admit(entry, tokens, used_percent),
            Step::Restart { entry } => {
                let entry = &mut self.entries[entry];
                let incarnation = entry.incarnation + 1;
                let sent_exchanges = std::mem::take(&mut entry.sent_exchanges);
                *entry = Entry {
                    incarnation,
                    sent_exchanges,
                    ..Entry::default()
                };
            }
            Step::ChangeLeader { pause_ms } => {
                self.real_time_ms += pause_ms;
                self.log_lag_ms = self.real_time_ms - self.state.time_ms;
            }
        }
    }

    fn next_exchange(&mut self, entry: usize, wanted: u64, returned_percent: u64) -> QuotaExchange {
        let now_ms = self.real_time_ms;
        let sender = &mut self.entries[entry];
        sender
            .slices
            .retain(|_, slice| slice.usable_until_ms > now_ms);
        let mut settlements = Vec::new();
        for (slice_id, slice) in &mut sender.slices {
            let returned_tokens = slice.tokens * returned_percent / 100;
            slice.tokens -= returned_tokens;
            settlements.push(SliceSettlement {
                slice_id: *slice_id,
                spent_tokens: std::mem::take(&mut slice.spent),
                returned_tokens,
            });
        }
        sender.sequence += 1;
        let exchange = exchange(
            entry,
            sender.incarnation,
            sender.sequence,
            wanted,
            settlements,
        );
        sender.pending_exchange = Some(exchange.clone());
        sender.sent_exchanges.push(exchange.clone());
        exchange
    }

    fn admit(&mut self, entry: usize, tokens: u64, used_percent: u64) {
        let now_ms = self.real_time_ms;
        let mut slices = self.entries[entry].slices.values_mut();
        let usable = slices.find(|slice| slice.usable_until_ms > now_ms && slice.tokens > 0);
        if let Some(slice) = usable {
            // The reservation is settled immediately, and its unused part stays in the slice.
            let used = tokens.min(slice.tokens) * used_percent / 100;
            slice.tokens -= used;
            slice.spent += used;
            self.admissions.push((now_ms, used));
        }
    }

    fn check_quota_state(&self) -> Result<(), TestCaseError> {
        for bucket in self.state.quota.buckets.values() {
            let held_millitokens = bucket.level_millitokens + bucket.outstanding_tokens * 1_000;
            prop_assert!(
                held_millitokens <= BURST_TOKENS * 1_000,
                "bucket over its burst: {bucket:?}"
            );
        }
        // Control's record of a slice covers the tokens that the entry can still use or settle.
        for (slice_id, slice) in self.entries.iter().flat_map(|entry| &entry.slices) {
            let held_tokens = slice.tokens + slice.spent;
            if slice.usable_until_ms > self.real_time_ms && held_tokens > 0 {
                let record = self.state.quota.slices.get(slice_id);
                let recorded_tokens = record.map_or(0, |record| record.tokens);
                prop_assert!(
                    held_tokens <= recorded_tokens,
                    "slice {slice_id}: {held_tokens} held, {recorded_tokens} recorded"
                );
            }
        }
        Ok(())
    }

    fn check_windows(&self) -> Result<(), TestCaseError> {
        for (first, (start_ms, _)) in self.admissions.iter().enumerate() {
            let mut sum = 0;
            for (end_ms, tokens) in &self.admissions[first..] {
                sum += tokens;
                let bound = BURST_TOKENS * 1_000 + RATE_TOKENS_PER_S * (end_ms - start_ms);
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

    /// Guards against a customer that exceeds its rate and burst in some window because of slice
    /// expiry, resent or delayed exchanges, entry processes that lose their state, or a change of
    /// the leader.
    #[test]
    fn windows_stay_within_rate_and_burst(steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.execute(step);
            simulation.check_quota_state()?;
        }
        simulation.check_windows()?;
    }
}

/// Guards against a bucket that is refilled by removing its customer and adding it again.
#[test]
fn removing_and_adding_a_customer_does_not_refill_its_bucket() {
    let mut state = ControlState::new();
    let listed = inventory(Vec::new(), vec![customer(RATE_TOKENS_PER_S, BURST_TOKENS)]);
    apply(&mut state, 0, apply_inventory(0, 1, listed.clone()));
    let exchange_burst = |state: &mut ControlState, time_ms, sequence| {
        let command = Command::ExchangeQuota {
            exchange: exchange(0, 1, sequence, BURST_TOKENS, Vec::new()),
            lifetime_ms: LIFETIME_MS,
        };
        let CommandOutcome::Quota(grants) = apply(state, time_ms, command) else {
            panic!("an exchange of the current incarnation gets grants");
        };
        grants.slices.iter().map(|slice| slice.tokens).sum::<u64>()
    };
    assert_eq!(exchange_burst(&mut state, 0, 1), BURST_TOKENS);
    let empty = inventory(Vec::new(), Vec::new());
    apply(&mut state, 10, apply_inventory(1, 2, empty));
    apply(&mut state, 20, apply_inventory(2, 3, listed));
    assert_eq!(exchange_burst(&mut state, 30, 2), 0);
}
