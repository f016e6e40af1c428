//! Rate and burst limits over all entry processes, with lost and resent exchanges.

use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;
use wasabipoint_entry::{QuotaLedger, TokenRequestResult};
use wasabipoint_kernel::{CustomerId, EntryId, Incarnation};
use wasabipoint_rpc::{FleetView, QuotaGrants, QuotaSlice, QuotaWait};

use crate::harness::{Harness, KEY, completion};

const RATE_TOKENS_PER_S: u64 = 200;
const BURST_TOKENS: u64 = 1_000;

fn limit_customer_delta(view: &mut FleetView) {
    let customer = view.inventory.customers.get_mut("delta").unwrap();
    customer.rate_tokens_per_s = RATE_TOKENS_PER_S;
    customer.burst_tokens = BURST_TOKENS;
}

/// Returns the first and last index and the tokens of a window that exceeds burst and rate.
fn find_excess(history: &[(Instant, u64)]) -> Option<(usize, usize, u64)> {
    for first in 0..history.len() {
        let mut sum = 0;
        for last in first..history.len() {
            sum += history[last].1;
            let window_s = (history[last].0 - history[first].0).as_secs_f64();
            if sum as f64 > BURST_TOKENS as f64 + RATE_TOKENS_PER_S as f64 * window_s + 1.0 {
                return Some((first, last, sum));
            }
        }
    }
    None
}

async fn send_random_requests(harness: &Harness, seed: u64, seconds: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        let prompt = "x".repeat(random.random_range(1..300));
        harness
            .send(completion(KEY, &prompt, random.random_bool(0.5)))
            .await;
        tokio::time::sleep(Duration::from_millis(random.random_range(0..120))).await;
    }
}

/// Guards against granting more tokens than burst and rate allow in any window, summed over entry
/// processes, while exchanges and their replies are lost.
#[tokio::test(start_paused = true)]
async fn no_window_exceeds_burst_and_rate() {
    for seed in [1, 2, 3, 4] {
        let one = Harness::start_with(limit_customer_delta).await;
        let two = Harness::start_entry(&one.control, &one.agents, "entry-2").await;
        one.control
            .set_loss_rate(if seed % 2 == 0 { 0.3 } else { 0.0 });
        tokio::join!(
            send_random_requests(&one, seed, 40),
            send_random_requests(&two, seed + 100, 40)
        );
        let history = one.agents.usage_history();
        let excess = find_excess(&history);
        assert_eq!(excess, None, "seed {seed}, {} requests", history.len());
        let used: u64 = history.iter().map(|(_, tokens)| tokens).sum();
        let allowed = BURST_TOKENS + RATE_TOKENS_PER_S * 40;
        println!(
            "seed {seed}: {used} of {allowed} tokens, {} requests",
            history.len()
        );
        assert!(
            used * 2 > allowed,
            "seed {seed}: only {used} of {allowed} tokens were usable"
        );
        if seed % 2 == 0 {
            let sent = one.control.exchange_sequences();
            assert!(
                sent.windows(2).any(|pair| pair[0] == pair[1]),
                "seed {seed}: nothing was resent"
            );
        }
    }
}

/// Guards against refusing a request whose tokens are available in control, and against a refusal
/// without `retry-after`.
#[tokio::test(start_paused = true)]
async fn requests_tokens_from_control_before_refusing() {
    let harness = Harness::start_with(limit_customer_delta).await;
    let prompt = "x".repeat(2_000);
    assert_eq!(harness.complete(&prompt, false).await.status, 200);
    let refused = harness.complete(&prompt, false).await;
    assert_eq!(refused.kind(), "over_rate");
    assert_eq!(refused.headers["retry-after"], "2");
    let larger = harness.complete(&"x".repeat(3_990), false).await;
    assert_eq!(larger.kind(), "exceeds_burst");
    let metrics = harness.metrics().await;
    assert!(
        !metrics.contains("refusals_inside_rate_total{customer=\"delta\""),
        "{metrics}"
    );
}

/// Guards against one exchange with control per request at steady usage.
#[tokio::test(start_paused = true)]
async fn steady_usage_needs_few_exchanges() {
    let harness = Harness::start().await;
    for _ in 0..100 {
        assert_eq!(harness.complete("hello", false).await.status, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let exchanges = harness.control.exchange_sequences().len();
    println!("{exchanges} exchanges for 100 requests in 10 s");
    assert!(exchanges <= 50, "{exchanges} exchanges for 100 requests");
}

/// Guards against an entry process that keeps tokens which it no longer needs, so that other entry
/// processes cannot use them.
#[tokio::test(start_paused = true)]
async fn unused_tokens_return_to_control() {
    let one = Harness::start_with(limit_customer_delta).await;
    let two = Harness::start_entry(&one.control, &one.agents, "entry-2").await;
    for _ in 0..8 {
        assert_eq!(one.complete(&"x".repeat(300), false).await.status, 200);
    }
    tokio::time::sleep(Duration::from_secs(15)).await;
    let whole_burst = two.complete(&"x".repeat(3_900), false).await;
    assert_eq!(whole_burst.status, 200, "{}", whole_burst.text());
}

fn new_ledger() -> (QuotaLedger, CustomerId) {
    let ledger = QuotaLedger::new(EntryId::new("e"), Incarnation(1));
    (ledger, CustomerId::new("delta"))
}

fn grant(id: u64, tokens: u64) -> QuotaGrants {
    QuotaGrants {
        slices: vec![QuotaSlice {
            slice_id: id,
            customer: CustomerId::new("delta"),
            tokens,
            lifetime_ms: 5_000,
        }],
        waits: Vec::new(),
    }
}

/// Guards against counting the lifetime of a slice from the last resend, and against a resent
/// exchange that differs from the first one.
#[test]
fn slice_lifetime_counts_from_before_the_first_send() {
    let (mut ledger, delta) = new_ledger();
    let token_request = ledger.add_token_request(&delta, 100);
    let sent = ledger.begin_exchange(1_000).unwrap();
    ledger.add_token_request(&delta, 50);
    assert_eq!(
        ledger.begin_exchange(4_000).unwrap(),
        sent,
        "a resend differs"
    );
    let results = ledger.complete_exchange(1, &grant(1, 200), 4_500);
    assert_eq!(results.len(), 1);
    assert!(matches!(&results[0], (id, TokenRequestResult::Granted(_)) if *id == token_request));
    assert!(ledger.reserve(&delta, 50, 5_999).is_some());
    assert!(
        ledger.reserve(&delta, 50, 6_000).is_none(),
        "the slice outlived its lifetime"
    );
    assert!(
        ledger
            .complete_exchange(1, &grant(1, 200), 4_600)
            .is_empty()
    );
    assert_eq!(ledger.begin_exchange(6_100).unwrap().sequence, 2);
}

/// Guards against recent usage that is not prefetched, against holding tokens after usage ended,
/// and against prefetching for a customer at its limit.
#[test]
fn recent_usage_is_prefetched_and_then_returned() {
    let (mut ledger, delta) = new_ledger();
    let mut now_ms = 0;
    for _ in 0..100 {
        now_ms += 100;
        assert!(ledger.reserve(&delta, 10, now_ms).is_none());
    }
    let item = ledger.begin_exchange(now_ms).unwrap().items.remove(0);
    assert!((80..=120).contains(&item.wanted_tokens), "{item:?}");
    assert!(item.accepts_partial);
    ledger.complete_exchange(1, &grant(1, item.wanted_tokens), now_ms);
    assert!(ledger.reserve(&delta, 50, now_ms).is_some());
    let later = ledger
        .begin_exchange(now_ms + 4_900)
        .unwrap()
        .items
        .remove(0);
    assert_eq!(
        later.settlements[0].returned_tokens,
        item.wanted_tokens - 50
    );

    now_ms += 5_000;
    let mut short = grant(2, 0);
    short.waits.push(QuotaWait {
        customer: delta.clone(),
        available_in_ms: 500,
    });
    ledger.complete_exchange(2, &short, now_ms);
    ledger.reserve(&delta, 300, now_ms);
    ledger.add_token_request(&delta, 300);
    let exact = ledger.begin_exchange(now_ms).unwrap().items.remove(0);
    assert_eq!((exact.wanted_tokens, exact.accepts_partial), (300, false));
}

proptest! {
    /// Guards against a sequence of operations that creates tokens or settles them twice.
    #[test]
    fn ledger_never_creates_tokens(steps in prop::collection::vec((0_u8..4, 1_u64..400), 1..200)) {
        let (mut ledger, delta) = new_ledger();
        let (mut now_ms, mut granted_tokens, mut settled_tokens, mut reservations) =
            (0, 0, 0, Vec::new());
        let mut in_flight_tokens: u64 = 0;
        for (step, size) in steps {
            now_ms += size;
            match step {
                0 => if let Some(reserved) = ledger.reserve(&delta, size, now_ms) {
                    in_flight_tokens += reserved.total();
                    reservations.push(reserved);
                },
                1 => if let Some(reserved) = reservations.pop() {
                    in_flight_tokens -= reserved.total();
                    ledger.settle(&reserved, size, now_ms);
                },
                _ => {
                    ledger.add_token_request(&delta, size);
                    if let Some(exchange) = ledger.begin_exchange(now_ms) {
                        for settled in exchange.items.iter().flat_map(|item| &item.settlements) {
                            settled_tokens += settled.spent_tokens + settled.returned_tokens;
                        }
                        let tokens = if step == 2 { size } else { 0 };
                        granted_tokens += tokens;
                        let id = exchange.sequence;
                        for (_, result) in ledger.complete_exchange(id, &grant(id, tokens), now_ms) {
                            if let TokenRequestResult::Granted(reserved) = result {
                                in_flight_tokens += reserved.total();
                                reservations.push(reserved);
                            }
                        }
                    }
                }
            }
            prop_assert!(settled_tokens <= granted_tokens);
            prop_assert!(in_flight_tokens <= granted_tokens);
        }
    }
}
