//! Probes and end of the quarantine of a prompt part.

use std::time::Duration;

use wasabipoint_policy::{
    ProbeView, QuarantineStep, QuarantineView, next_quarantine_step, probe_delay,
};

fn view(unprobed_for: Duration, unrefused_for: Duration) -> QuarantineView {
    QuarantineView {
        is_set_by_operator: false,
        failed_probes: 0,
        unprobed_for,
        unrefused_for,
        probe: None,
    }
}

fn probe(granted_for: Duration, has_crashed: bool, is_answered: bool) -> QuarantineView {
    QuarantineView {
        probe: Some(ProbeView {
            granted_for,
            has_crashed,
            is_answered,
        }),
        ..view(Duration::ZERO, Duration::ZERO)
    }
}

/// Guards against a quarantine that ends while requests with the part still come, and against one
/// that never ends.
#[test]
fn a_probe_is_granted_after_the_delay_while_requests_come() {
    let second = Duration::from_secs(1);
    let before = view(probe_delay(0) / 2, second);
    assert_eq!(next_quarantine_step(&before), QuarantineStep::Keep);
    let due = view(probe_delay(0), second);
    assert_eq!(next_quarantine_step(&due), QuarantineStep::GrantProbe);
    let silent = view(probe_delay(0), Duration::from_mins(1));
    assert_eq!(next_quarantine_step(&silent), QuarantineStep::Keep);
    let forgotten = view(probe_delay(0), Duration::from_hours(1));
    assert_eq!(next_quarantine_step(&forgotten), QuarantineStep::LiftLapsed);
}

/// Guards against probes that keep crashing engines at the same rate.
#[test]
fn failed_probes_extend_the_delay() {
    let delays: Vec<Duration> = (0..4).map(probe_delay).collect();
    assert!(
        delays.windows(2).all(|pair| pair[1] >= pair[0] * 2),
        "{delays:?}"
    );
    assert!(probe_delay(u32::MAX) >= probe_delay(3));
}

/// Guards against a second probe before the result of the first one is known.
#[test]
fn a_probe_ends_with_its_result() {
    let second = Duration::from_secs(1);
    let steps = [
        (probe(second, false, false), QuarantineStep::Keep),
        (probe(second, true, false), QuarantineStep::FailProbe),
        (probe(second, true, true), QuarantineStep::FailProbe),
        (probe(second, false, true), QuarantineStep::LiftAnswered),
        (
            probe(Duration::from_mins(1), false, false),
            QuarantineStep::EndProbe,
        ),
    ];
    for (view, step) in steps {
        assert_eq!(next_quarantine_step(&view), step, "{view:?}");
    }
}

/// Guards against an operator's quarantine that the leader ends.
#[test]
fn a_quarantine_set_by_an_operator_is_left_alone() {
    let hour = Duration::from_hours(1);
    let view = QuarantineView {
        is_set_by_operator: true,
        ..view(hour, hour)
    };
    assert_eq!(next_quarantine_step(&view), QuarantineStep::Keep);
}
