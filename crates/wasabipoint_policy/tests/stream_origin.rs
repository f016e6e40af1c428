//! Streams in a service with several software versions.

use wasabipoint_kernel::SoftwareVersion;
use wasabipoint_policy::{
    MAX_BASE_VERSION_AGE_MS, MAX_STREAM_LIFETIME_MS, StreamStart, add_version_costs,
    record_lifetime_ms,
};

/// Guards against streams without a record that are not streams of the base version for every process.
#[test]
fn only_streams_of_a_fresh_base_version_need_no_record() {
    let (base, other) = (SoftwareVersion::new("v1"), SoftwareVersion::new("v1.1"));
    let start = StreamStart {
        version: &base,
        base_version: Some(&base),
        base_age_ms: MAX_BASE_VERSION_AGE_MS,
        services: 1,
    };
    assert!(!start.needs_record());
    let version = &other;
    assert!(StreamStart { version, ..start }.needs_record());
    let base_version = None;
    assert!(
        StreamStart {
            base_version,
            ..start
        }
        .needs_record()
    );
    let base_age_ms = MAX_BASE_VERSION_AGE_MS + 1;
    assert!(
        StreamStart {
            base_age_ms,
            ..start
        }
        .needs_record()
    );
    assert!(
        StreamStart {
            services: 2,
            ..start
        }
        .needs_record()
    );
}

/// Guards against a record that ends before its caller stops waiting, and against one that is kept for
/// good because its caller claims to wait.
#[test]
fn a_record_lasts_longer_than_its_caller_waits() {
    for remaining_ms in [0, 4_000, 25_000] {
        assert!(record_lifetime_ms(Some(remaining_ms)) > remaining_ms);
    }
    for unbounded in [None, Some(u64::MAX)] {
        assert_eq!(record_lifetime_ms(unbounded), MAX_STREAM_LIFETIME_MS);
    }
}

/// Guards against streams that begin at the only endpoint of a software version although another version
/// could continue them after the loss of an endpoint.
#[test]
fn versions_with_several_endpoints_are_preferred() {
    let added = |versions: [&str; 3]| {
        let versions = versions.map(SoftwareVersion::new);
        let mut costs = [0.1, 0.1, 0.1];
        add_version_costs(&mut costs, versions.iter(), versions.iter());
        costs.map(|cost| cost > 0.1)
    };
    assert_eq!(added(["v1", "v1.1", "v1.1"]), [true, false, false]);
    assert_eq!(added(["v1.1", "v1", "v1.1"]), [false, true, false]);
    assert_eq!(added(["v1", "v1", "v1"]), [false; 3]);
    assert_eq!(added(["v1", "v1.1", "v2"]), [false; 3]);
}
