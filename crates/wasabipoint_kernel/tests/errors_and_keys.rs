//! Tests for the table of error kinds and for key digests.

use std::collections::HashSet;

use wasabipoint_kernel::{ErrorKind, KeyDigester, Refusal, RetryAdvice, RunState};

/// Guards against two kinds with the same name, and against a kind with an invalid HTTP status or a
/// successful exit code.
#[test]
fn every_kind_has_a_unique_name_and_valid_properties() {
    let names: HashSet<_> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.properties().name)
        .collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let properties = kind.properties();
        assert!((400..600).contains(&properties.status), "{kind}");
        assert_ne!(properties.exit_code, 0, "{kind}");
    }
}

/// Guards against a retry time that is rounded down to zero seconds.
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

/// Guards against a refusal whose JSON lacks the run state.
#[test]
fn refusals_state_whether_the_request_ran() {
    let refusal =
        Refusal::new(ErrorKind::EndpointFailed, "no answer").with_run_state(RunState::NotRun);
    assert!(refusal.to_json().contains("\"run\":\"not run\""));
    let refusal = refusal.with_run_state(RunState::Unknown);
    assert!(refusal.to_json().contains("\"run\":\"unknown\""));
}

/// Guards against digests that do not depend on the secret, and against digests in debug output.
#[test]
fn digests_depend_on_the_secret_and_are_not_printed() {
    let digest = KeyDigester::new("one").digest("key");
    assert!(digest.matches(&KeyDigester::new("one").digest("key")));
    assert!(!digest.matches(&KeyDigester::new("two").digest("key")));
    assert!(!digest.matches(&KeyDigester::new("one").digest("kez")));
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
}
