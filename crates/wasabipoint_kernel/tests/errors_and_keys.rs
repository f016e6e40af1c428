//! Tests of the error table and of key digests.

use std::collections::HashSet;

use wasabipoint_kernel::{ErrorKind, KeyDigester, Refusal, RetryAdvice, RunState};

/// Guards against kinds that callers cannot tell apart and statuses that HTTP does not have.
#[test]
fn every_kind_has_its_own_name_and_a_valid_answer() {
    let names: HashSet<_> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.properties().name)
        .collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let answer = kind.properties();
        assert!((400..600).contains(&answer.status), "{kind}");
        assert_ne!(answer.exit_code, 0, "{kind}");
    }
}

/// Guards against a retry time that rounds down to "at once".
#[test]
fn retry_after_is_rounded_up_to_whole_seconds() {
    let refusal = Refusal::new(ErrorKind::OverRate, "");
    assert_eq!(refusal.kind.properties().retry, RetryAdvice::Later);
    assert_eq!(refusal.retry_after_s(), None);
    for (ms, seconds) in [(0, 1), (1, 1), (1_000, 1), (1_001, 2)] {
        let refusal = refusal.clone().with_retry_after_ms(ms);
        assert_eq!(refusal.retry_after_s(), Some(seconds));
    }
}

/// Guards against a refusal that does not say whether the request ran.
#[test]
fn refusals_state_whether_the_request_ran() {
    let refusal = Refusal::new(ErrorKind::EndpointFailed, "no answer").with_run(RunState::NotRun);
    assert!(refusal.to_json().contains("\"run\":\"not run\""));
    let refusal = refusal.with_run(RunState::Unknown);
    assert!(refusal.to_json().contains("\"run\":\"unknown\""));
}

/// Guards against digests that depend on the key alone, and against digests in debug output.
#[test]
fn digests_depend_on_the_secret_and_are_not_printed() {
    let digest = KeyDigester::new("one").digest("key");
    assert!(digest.matches(&KeyDigester::new("one").digest("key")));
    assert!(!digest.matches(&KeyDigester::new("two").digest("key")));
    assert!(!digest.matches(&KeyDigester::new("one").digest("kez")));
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
}
