//! Effect of announcements on the requests that an endpoint receives.

use proptest::prelude::*;
use wasabipoint_policy::{AnnouncedPause, Announcement, EndpointAvailability, MAX_PAUSE_MS};

fn pause_of(ms: u64) -> Announcement {
    Announcement {
        pause: AnnouncedPause::ForMs(ms),
        ..Announcement::default()
    }
}

/// Guards against values that silence an endpoint for ever, end the process, or are taken for another
/// length.
#[test]
fn odd_pauses_have_a_stated_meaning() {
    let pauses = [
        (0.25, AnnouncedPause::ForMs(250)),
        (0.0001, AnnouncedPause::ForMs(1)),
        (0.0, AnnouncedPause::None),
        (-0.0, AnnouncedPause::None),
        (-1.0, AnnouncedPause::Unreadable),
        (f64::NAN, AnnouncedPause::Unreadable),
        (f64::INFINITY, AnnouncedPause::Unreadable),
        (1e300, AnnouncedPause::ForMs(MAX_PAUSE_MS)),
    ];
    for (seconds, pause) in pauses {
        assert_eq!(AnnouncedPause::from_seconds(seconds), pause, "{seconds}");
    }
    let (short, long) = (AnnouncedPause::ForMs(1), AnnouncedPause::ForMs(2));
    assert_eq!(short.or_longer(long), long);
    assert_eq!(AnnouncedPause::Unreadable.or_longer(short), short);
}

/// Guards against a pause that is shortened by a later response, which asked only for its own.
#[test]
fn the_pause_that_ends_last_holds() {
    let mut availability = EndpointAvailability::default();
    assert_eq!(
        availability.record(pause_of(1_000), 0).pause_ms,
        Some(1_000)
    );
    assert_eq!(availability.record(pause_of(100), 500).pause_ms, None);
    assert_eq!(availability.ready_in_ms(600), 400);
    assert_eq!(
        availability.record(pause_of(1_000), 600).pause_ms,
        Some(1_000)
    );
    assert_eq!(availability.ready_in_ms(600), 1_000);
    assert!(availability.is_paused(1_599));
    assert!(!availability.is_paused(1_600));
}

/// Guards against waiting requests that all return at the end of a pause, and against an endpoint that
/// receives too few for long after it.
#[test]
fn requests_return_gradually_after_a_pause() {
    let mut availability = EndpointAvailability::default();
    availability.record(pause_of(1_000), 0);
    let mut sent_by_ms = Vec::new();
    let mut sent = 0;
    for now_ms in 0..3_000 {
        while sent < 10_000 && availability.ready_in_ms(now_ms) == 0 {
            assert_eq!(availability.record_send(now_ms), sent == 0);
            sent += 1;
        }
        sent_by_ms.push(sent);
    }
    assert_eq!(sent_by_ms[999], 0);
    assert_eq!(sent_by_ms[1_000], 1);
    assert_eq!(sent_by_ms[1_300], 8);
    assert_eq!(sent_by_ms[2_000], 10_000);
}

/// Guards against an endpoint that leaves and returns.
#[test]
fn leaving_is_final() {
    let mut availability = EndpointAvailability::default();
    let leaving = Announcement {
        is_leaving: true,
        ..Announcement::default()
    };
    assert!(availability.record(leaving, 0).has_begun_to_leave);
    assert!(!availability.record(leaving, 1).has_begun_to_leave);
    availability.record(Announcement::default(), 2);
    assert!(availability.is_leaving());
}

proptest! {
    /// Guards against a request that is sent within a pause, and against a forecast that is later than
    /// the end of the pause and the return of the requests.
    #[test]
    fn nothing_is_sent_within_a_pause(
        steps in proptest::collection::vec((0_u64..2_000, 0_u64..1_500, any::<bool>()), 1..60),
    ) {
        let mut availability = EndpointAvailability::default();
        let (mut now_ms, mut paused_until_ms) = (0, 0);
        for (elapsed_ms, pause_ms, asks) in steps {
            now_ms += elapsed_ms;
            if asks && pause_ms > 0 {
                availability.record(pause_of(pause_ms), now_ms);
                paused_until_ms = paused_until_ms.max(now_ms + pause_ms);
            }
            let ready_in_ms = availability.ready_in_ms(now_ms);
            if now_ms < paused_until_ms {
                prop_assert_eq!(ready_in_ms, paused_until_ms - now_ms);
            } else {
                prop_assert!(ready_in_ms <= 1_000);
            }
            if ready_in_ms == 0 {
                availability.record_send(now_ms);
            }
        }
    }
}
