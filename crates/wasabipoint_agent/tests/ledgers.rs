//! Property tests of the components without I/O: memory ledger, execution ledger, response check,
//! cache log and planning of engine actions.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use wasabipoint_agent::{
    Admission, Allocation, AllocationState, CacheLog, CheckError, CommandFailure, EngineAction,
    EventStreamCheck, ExecutionLedger, ExecutionLimits, MemoryLedger, PlanInput, Replica,
    plan_action,
};
use wasabipoint_kernel::{EndpointId, FencingToken, ModelName, RequestId};
use wasabipoint_rpc::{CacheEvent, Grant, Outcome, ReplicaState, StoredResponse};

fn allocation(index: u8) -> Allocation {
    Allocation::Replica(ModelName::new(format!("m{index}")))
}

proptest! {
    /// Guards against a load that is accepted without enough free memory, and against memory that
    /// is freed before the unload is confirmed.
    #[test]
    fn memory_is_never_overcommitted(
        steps in prop::collection::vec((0..4_u8, 0..6_u8, 1..500_u64), 1..200),
    ) {
        let mut ledger = MemoryLedger::new(1_200, 200);
        let mut expected: BTreeMap<u8, u64> = BTreeMap::new();
        for (step, index, mib) in steps {
            match step {
                0 | 1 => {
                    let others: u64 = expected
                        .iter()
                        .filter(|(loaded, _)| **loaded != index)
                        .map(|(_, mib)| mib)
                        .sum();
                    let is_accepted = ledger.begin_load(allocation(index), mib).is_ok();
                    prop_assert_eq!(is_accepted, others + mib <= 1_000);
                    if is_accepted {
                        expected.insert(index, mib);
                    }
                }
                2 => {
                    ledger.confirm_load(&allocation(index));
                    ledger.begin_unload(&allocation(index));
                }
                _ => {
                    ledger.confirm_absent(&allocation(index));
                    expected.remove(&index);
                }
            }
            prop_assert_eq!(ledger.used_mib(), expected.values().sum::<u64>());
            prop_assert!(ledger.used_mib() <= ledger.usable_mib());
        }
    }

    /// Guards against loads into memory that the engine reports as used, but that the agent does
    /// not track.
    #[test]
    fn memory_reported_by_the_engine_counts_as_used(
        known in 0..500_u64,
        reported in 0..2_000_u64,
        wanted in 1..1_500_u64,
    ) {
        let mut ledger = MemoryLedger::new(1_200, 200);
        ledger.record_reported(allocation(0), known, AllocationState::Loaded);
        ledger.set_reported_usage(reported);
        prop_assert_eq!(ledger.used_mib(), known.max(reported));
        let is_accepted = ledger.begin_load(allocation(1), wanted).is_ok();
        prop_assert_eq!(is_accepted, known.max(reported) + wanted <= 1_000);
    }
}

const LIMITS: ExecutionLimits = ExecutionLimits {
    max_responses: 4,
    max_response_bytes: 100,
    max_response_age_ms: 50,
    max_ids: 12,
    max_id_age_ms: 200,
};

fn stored(bytes: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; bytes],
    }
}

/// State of an id in a reference model without limits.
#[derive(Debug, Clone, PartialEq)]
enum ReferenceState {
    Waiting,
    Running,
    Finished(usize),
    Refused,
}

proptest! {
    /// Guards against a second start of an id, a start after the outcome "not started", the outcome
    /// "not started" for an id that was started, a stored response of another request, and exceeded
    /// limits.
    #[test]
    fn executions_match_an_unbounded_reference_model(
        steps in prop::collection::vec((0..6_u8, 0..16_u128, 0..60_usize, 0..15_u64), 1..300),
    ) {
        let mut ledger = ExecutionLedger::new(LIMITS);
        let mut reference: BTreeMap<u128, ReferenceState> = BTreeMap::new();
        let mut settled_at: BTreeMap<u128, u64> = BTreeMap::new();
        let mut now_ms = 0;
        for (step, number, bytes, passed_ms) in steps {
            now_ms += passed_ms;
            let id = RequestId(number);
            // Request ids are unique, so an id above the maximum age is not used again.
            let age_ms = settled_at.get(&number).map_or(0, |at| now_ms - at);
            if age_ms >= LIMITS.max_id_age_ms {
                continue;
            }
            match step {
                0 | 1 => match ledger.admit(id, now_ms) {
                    Admission::Admitted => {
                        // An id is removed before its maximum age only when there are too many ids.
                        let is_known = reference.contains_key(&number);
                        prop_assert!(!is_known || reference.len() > LIMITS.max_ids);
                        reference.insert(number, ReferenceState::Waiting);
                    }
                    Admission::Finished(response) => {
                        let size = response.body.len();
                        prop_assert_eq!(&reference[&number], &ReferenceState::Finished(size));
                    }
                    Admission::InProgress => prop_assert!(matches!(
                        reference[&number],
                        ReferenceState::Waiting | ReferenceState::Running
                    )),
                    Admission::Refused => prop_assert_eq!(
                        &reference[&number],
                        &ReferenceState::Refused
                    ),
                    Admission::NotStored => {
                        prop_assert!(matches!(reference[&number], ReferenceState::Finished(_)));
                    }
                },
                2 => {
                    let may_start = reference.get(&number) == Some(&ReferenceState::Waiting);
                    prop_assert_eq!(ledger.start(id), may_start);
                    if may_start {
                        reference.insert(number, ReferenceState::Running);
                    }
                }
                3 if reference.get(&number) == Some(&ReferenceState::Running) => {
                    ledger.finish(id, Some(stored(bytes)), now_ms);
                    reference.insert(number, ReferenceState::Finished(bytes));
                    settled_at.insert(number, now_ms);
                }
                4 | 5 => match ledger.outcome(id, now_ms) {
                    Outcome::NotStarted => {
                        prop_assert!(matches!(
                            reference.get(&number),
                            None | Some(ReferenceState::Waiting | ReferenceState::Refused)
                        ), "{:?}", reference.get(&number));
                        if reference.insert(number, ReferenceState::Refused)
                            != Some(ReferenceState::Refused)
                        {
                            settled_at.insert(number, now_ms);
                        }
                    }
                    Outcome::Running => prop_assert_eq!(
                        &reference[&number],
                        &ReferenceState::Running
                    ),
                    Outcome::Finished(response) => {
                        let size = response.body.len();
                        prop_assert_eq!(&reference[&number], &ReferenceState::Finished(size));
                    }
                    Outcome::Unknown => {}
                },
                _ => {}
            }
            prop_assert!(ledger.stored_bytes() <= LIMITS.max_response_bytes);
            let unsettled = reference
                .values()
                .filter(|recorded| {
                    matches!(recorded, ReferenceState::Waiting | ReferenceState::Running)
                })
                .count();
            prop_assert!(ledger.len() <= LIMITS.max_ids + unsettled);
        }
    }
}

/// Guards against a call that is reported as not started after its response or id was evicted.
#[test]
fn evicted_ids_have_an_unknown_outcome() {
    let mut ledger = ExecutionLedger::new(LIMITS);
    let mut run = |number: u128, bytes: usize, now_ms: u64| {
        let id = RequestId(number);
        assert_eq!(ledger.admit(id, now_ms), Admission::Admitted);
        assert!(ledger.start(id));
        ledger.finish(id, Some(stored(bytes)), now_ms);
    };
    for number in 0..5 {
        run(number, 1, 0);
    }
    run(5, 98, 10);
    assert_eq!(
        ledger.outcome(RequestId(0), 10),
        Outcome::Unknown,
        "by count"
    );
    assert_eq!(
        ledger.outcome(RequestId(2), 10),
        Outcome::Unknown,
        "by bytes"
    );
    assert_eq!(
        ledger.outcome(RequestId(5), 10),
        Outcome::Finished(stored(98))
    );
    assert_eq!(ledger.outcome(RequestId(5), 60), Outcome::Unknown, "by age");
    assert_eq!(ledger.admit(RequestId(5), 60), Admission::NotStored);
    for number in 6..40 {
        assert_eq!(ledger.admit(RequestId(number), 60), Admission::Admitted);
        assert!(ledger.start(RequestId(number)));
        ledger.finish(RequestId(number), None, 60);
    }
    assert_eq!(ledger.outcome(RequestId(5), 61), Outcome::Unknown, "by ids");
    assert_eq!(ledger.outcome(RequestId(99), 300), Outcome::NotStarted);
}

fn event_text(id: &str, index: usize) -> String {
    format!("data: {{\"id\": \"{id}\", \"n\": {index}}}\n\n")
}

proptest! {
    /// Guards against releasing bytes of a response to another request and against losing bytes of
    /// the own response, for any split of the stream into chunks.
    #[test]
    fn only_events_of_the_request_are_released(
        own in 0..6_usize,
        foreign_at in prop::option::of(0..6_usize),
        cut_at in prop::option::of(0..200_usize),
        sizes in prop::collection::vec(1..40_usize, 1..20),
    ) {
        let mut stream = String::new();
        let mut own_bytes = 0;
        for index in 0..own {
            if foreign_at == Some(index) {
                own_bytes = stream.len();
                stream.push_str(&event_text("other", index));
            }
            stream.push_str(&event_text("own", index));
        }
        stream.push_str("data: [DONE]\n\n");
        let has_foreign_event = foreign_at.is_some_and(|at| at < own);
        if !has_foreign_event {
            own_bytes = stream.len();
        }
        let complete_len = stream.len();
        stream.truncate(cut_at.unwrap_or(complete_len));
        let mut check = EventStreamCheck::new("own".to_owned());
        let mut released = Vec::new();
        let mut rest = stream.as_bytes();
        let mut result = Ok(());
        let mut sizes = sizes.iter().cycle();
        while !rest.is_empty() && result.is_ok() {
            let size = rest.len().min(*sizes.next().unwrap());
            match check.push(&rest[..size]) {
                Ok(bytes) => released.extend(bytes),
                Err(error) => result = Err(error),
            }
            rest = &rest[size..];
        }
        let result = result.and_then(|()| check.finish());
        prop_assert!(stream.as_bytes().starts_with(&released));
        prop_assert!(released.len() <= own_bytes);
        let is_complete = stream.len() == complete_len;
        match result {
            Ok(()) => prop_assert!(
                is_complete && !has_foreign_event && released.len() == complete_len
            ),
            Err(CheckError::IdMismatch) => prop_assert!(has_foreign_event),
            Err(error) => prop_assert!(error == CheckError::Truncated && !is_complete),
        }
    }

    /// Guards against readers of the cache log that miss events without a reported gap.
    #[test]
    fn cache_readers_are_told_of_missing_events(
        steps in prop::collection::vec((0..8_u8, 0..700_usize), 1..30),
    ) {
        let mut log = CacheLog::new();
        let mut next = 0_u64;
        let mut known = 0;
        let mut seen = 0;
        for (step, count) in steps {
            match step {
                0 => {
                    log.record_gap();
                    next += 1;
                }
                1..4 => {
                    let first = next;
                    next += count as u64;
                    log.append((first..next).map(CacheEvent::Stored));
                }
                _ => {
                    let update = log.events_since(known);
                    for event in &update.events {
                        let CacheEvent::Stored(number) = event else { unreachable!() };
                        prop_assert!(*number == seen || update.has_gap);
                        seen = number + 1;
                    }
                    if update.has_gap && update.events.is_empty() {
                        seen = next;
                    }
                    known = update.sequence;
                }
            }
        }
    }
}

fn grant(index: u8, token: u64, memory_mib: u64, is_revoked: bool) -> Grant {
    Grant {
        model: ModelName::new(format!("m{index}")),
        version: 1,
        endpoint: EndpointId::new("endpoint-1"),
        fencing_token: FencingToken(token),
        memory_mib,
        is_revoked,
    }
}

proptest! {
    /// Guards against actions that no grant justifies, and against planning that stops before the
    /// granted state is reached.
    #[test]
    fn planned_actions_reach_the_granted_state(
        grants in prop::collection::btree_map(0..8_u8, (1..300_u64, any::<bool>()), 0..8),
        loaded in prop::collection::btree_map(0..8_u8, 1..120_u64, 0..8),
    ) {
        let mut memory = MemoryLedger::new(1_000, 0);
        let mut replicas = BTreeMap::new();
        let grants: Vec<_> = grants
            .iter()
            .zip(1_u64..)
            .map(|((index, (mib, is_revoked)), token)| grant(*index, token, *mib, *is_revoked))
            .collect();
        let is_valid = |model: &ModelName| {
            grants.iter().any(|grant| grant.model == *model && !grant.is_revoked)
        };
        for (index, mib) in loaded {
            let model = ModelName::new(format!("m{index}"));
            memory.record_reported(allocation(index), mib, AllocationState::Loaded);
            let replica = Replica {
                version: 1,
                fencing_token: FencingToken(0),
                state: ReplicaState::Loaded,
                ungranted_since_ms: (!is_valid(&model)).then_some(0),
            };
            replicas.insert(model, replica);
        }
        let mut failures = BTreeMap::new();
        let mut refused = BTreeSet::new();
        for _ in 0..40 {
            let action = plan_action(&PlanInput {
                now_ms: 0,
                is_draining: false,
                grants: &grants,
                replicas: &replicas,
                running_requests: &BTreeMap::new(),
                failures: &failures,
                memory: &memory,
                idle_adapters: &[],
            });
            match action {
                None => break,
                Some(EngineAction::Unload { model, fencing_token }) => {
                    prop_assert!(!is_valid(&model));
                    let granted = grants.iter().filter(|grant| grant.model == model);
                    prop_assert!(
                        granted
                            .map(|grant| grant.fencing_token)
                            .all(|token| token < fencing_token)
                    );
                    replicas.remove(&model);
                    memory.confirm_absent(&Allocation::Replica(model));
                }
                Some(EngineAction::Load(grant)) => {
                    prop_assert!(!grant.is_revoked && !replicas.contains_key(&grant.model));
                    memory
                        .begin_load(Allocation::Replica(grant.model.clone()), grant.memory_mib)
                        .unwrap();
                    replicas.insert(grant.model, Replica {
                        version: 1,
                        fencing_token: grant.fencing_token,
                        state: ReplicaState::Loaded,
                        ungranted_since_ms: None,
                    });
                }
                Some(EngineAction::RefuseLoad(grant)) => {
                    prop_assert!(grant.memory_mib > memory.free_mib());
                    refused.insert(grant.model.clone());
                    failures.insert(grant.model, CommandFailure {
                        fencing_token: grant.fencing_token,
                        retry_at_ms: 1,
                        consecutive_failures: 1,
                    });
                }
                Some(EngineAction::EvictAdapter(_)) => prop_assert!(false, "there is no adapter"),
            }
        }
        for model in replicas.keys() {
            prop_assert!(is_valid(model));
        }
        for grant in grants.iter().filter(|grant| !grant.is_revoked) {
            prop_assert!(replicas.contains_key(&grant.model) || refused.contains(&grant.model));
        }
    }
}

/// Guards against a load that is retried under a token whose failure was reported. Control has
/// released that grant and may have granted a replica elsewhere.
#[test]
fn a_failed_grant_is_not_loaded_again() {
    let memory = MemoryLedger::new(1_000, 0);
    let failure = CommandFailure {
        fencing_token: FencingToken(1),
        retry_at_ms: 0,
        consecutive_failures: 1,
    };
    let failures = BTreeMap::from([(ModelName::new("m0"), failure)]);
    let plan = |token: u64| {
        plan_action(&PlanInput {
            now_ms: 1_000_000,
            is_draining: false,
            grants: &[grant(0, token, 100, false)],
            replicas: &BTreeMap::new(),
            running_requests: &BTreeMap::new(),
            failures: &failures,
            memory: &memory,
            idle_adapters: &[],
        })
    };
    assert_eq!(plan(1), None);
    assert_eq!(plan(2), Some(EngineAction::Load(grant(0, 2, 100, false))));
}
