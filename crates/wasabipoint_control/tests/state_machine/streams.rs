//! Software versions that began streams.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wasabipoint_control::{Command, CommandOutcome, ControlState, EndpointChanges};
use wasabipoint_kernel::{FailureDomain, Incarnation, ServiceName, SoftwareVersion};
use wasabipoint_policy::{
    BASE_RETIREMENT_MS, MAX_BASE_VERSION_AGE_MS, MAX_STREAM_LIFETIME_MS, StreamStart,
};
use wasabipoint_rpc::{
    EndpointKind, EndpointView, FleetView, StreamOrigin, StreamQuery, StreamRecord,
};

use crate::samples::{apply, endpoint_id};

const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];

fn service() -> ServiceName {
    ServiceName::new("app")
}

fn endpoint(index: usize, version: usize) -> EndpointView {
    EndpointView {
        id: endpoint_id(index),
        incarnation: Incarnation(version as u64 + 1),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: FailureDomain::new("here"),
        kind: EndpointKind::Service,
        service: service(),
        models: Vec::new(),
        concurrency: 8,
        is_leaving: false,
        software_version: SoftwareVersion::new(VERSIONS[version]),
    }
}

/// Replaces all endpoints by ones of the given versions.
pub(crate) fn list_versions(state: &ControlState, versions: &[usize]) -> Command {
    let put: Vec<EndpointView> = versions
        .iter()
        .enumerate()
        .map(|(i, v)| endpoint(i, *v))
        .collect();
    let listed = state.view.endpoints.keys().cloned();
    Command::ChangeEndpoints(EndpointChanges {
        removed: listed
            .skip_while(|id| *id < endpoint_id(versions.len()))
            .collect(),
        put,
    })
}

pub(crate) fn record(digest: u64, version: usize, lifetime_ms: u64) -> StreamRecord {
    StreamRecord {
        digest,
        service: service(),
        software_version: SoftwareVersion::new(VERSIONS[version]),
        lifetime_ms,
    }
}

fn find(state: &ControlState, digest: Option<u64>) -> StreamOrigin {
    let service = service();
    state.find_stream(&StreamQuery { digest, service })
}

/// Returns the version that may continue a stream.
fn origin_version(origin: StreamOrigin) -> Option<SoftwareVersion> {
    match origin {
        StreamOrigin::Recorded {
            software_version, ..
        } => Some(software_version),
        StreamOrigin::Base(version) => Some(version),
        StreamOrigin::Unknown => None,
    }
}

fn base(version: usize) -> StreamOrigin {
    StreamOrigin::Base(SoftwareVersion::new(VERSIONS[version]))
}

fn set_versions(state: &mut ControlState, time_ms: u64, versions: &[usize]) {
    let command = list_versions(state, versions);
    apply(state, time_ms, command);
}

/// Guards against streams of a version whose endpoints have just left that are counted as streams of the
/// version in service, which joined texts of both after all entry processes were killed.
#[test]
fn the_base_version_outlasts_its_endpoints_as_long_as_its_streams() {
    let mut state = ControlState::new();
    set_versions(&mut state, 1_000, &[0, 0]);
    set_versions(&mut state, 2_000, &[0, 1]);
    set_versions(&mut state, 3_000, &[1, 1]);
    assert_eq!(find(&state, Some(7)), base(0));
    let retires_ms = 3_000 + BASE_RETIREMENT_MS;
    set_versions(&mut state, retires_ms - 1, &[1, 1, 1]);
    assert_eq!(find(&state, Some(7)), base(0));
    set_versions(&mut state, retires_ms, &[1, 1]);
    assert_eq!(find(&state, Some(7)), base(1));
}

/// Guards against a base version that is replaced while it has endpoints, because they were missing for
/// a moment.
#[test]
fn a_base_version_that_returns_stays() {
    let mut state = ControlState::new();
    set_versions(&mut state, 0, &[0]);
    set_versions(&mut state, 1_000, &[1]);
    set_versions(&mut state, 2_000, &[0, 1, 1]);
    set_versions(&mut state, 1_000 + BASE_RETIREMENT_MS, &[1, 1]);
    assert_eq!(find(&state, Some(7)), base(0));
}

/// Guards against a record that is lost before its stream can no longer be resumed, and against records
/// that are kept for good.
#[test]
fn a_stream_is_recorded_for_its_lifetime() {
    let mut state = ControlState::new();
    set_versions(&mut state, 0, &[0, 0, 1]);
    let streams = vec![record(7, 1, 5_000), record(8, 1, u64::MAX)];
    apply(&mut state, 1_000, Command::RecordStreams(streams));
    apply(&mut state, 5_999, Command::RecordStreams(Vec::new()));
    let recorded = StreamOrigin::Recorded {
        service: service(),
        software_version: SoftwareVersion::new("v1.1"),
    };
    assert_eq!(find(&state, Some(7)), recorded);
    apply(&mut state, 7_000, Command::RecordStreams(Vec::new()));
    assert_eq!(find(&state, Some(7)), base(0));
    assert_eq!(find(&state, Some(8)), recorded);
    let end_ms = 1_000 + MAX_STREAM_LIFETIME_MS;
    apply(&mut state, end_ms, Command::RecordStreams(Vec::new()));
    assert_eq!(state.streams.records(), 0);
}

/// Guards against a guess where a caller does not say which attempt began its stream.
#[test]
fn an_unnamed_stream_has_an_origin_only_if_one_version_served() {
    let mut state = ControlState::new();
    assert_eq!(find(&state, None), StreamOrigin::Unknown);
    set_versions(&mut state, 0, &[0, 0]);
    assert_eq!(find(&state, None), base(0));
    set_versions(&mut state, 1_000, &[0, 1]);
    assert_eq!(find(&state, None), StreamOrigin::Unknown);
    let streams = vec![record(7, 1, 5_000)];
    apply(&mut state, 2_000, Command::RecordStreams(streams));
    set_versions(&mut state, 3_000, &[0, 0]);
    assert_eq!(find(&state, None), StreamOrigin::Unknown);
}

/// Guards against records without a bound, and against streams that are taken as recorded without room.
#[test]
fn the_number_of_records_is_bounded() {
    let mut state = ControlState::new();
    set_versions(&mut state, 0, &[0, 0, 1]);
    let streams = (0..200_000).map(|digest| record(digest, 1, 60_000));
    let outcome = apply(&mut state, 0, Command::RecordStreams(streams.collect()));
    assert_eq!(outcome, CommandOutcome::Done);
    let one_more = Command::RecordStreams(vec![record(u64::MAX, 1, 60_000)]);
    let outcome = apply(&mut state, 0, one_more.clone());
    assert!(matches!(outcome, CommandOutcome::Refused { .. }));
    assert_eq!(find(&state, Some(u64::MAX)), base(0));
    assert_eq!(apply(&mut state, 60_000, one_more), CommandOutcome::Done);
}

/// What happens next in a history of versions and streams.
#[derive(Debug, Clone)]
enum Step {
    /// The directory lists endpoints of these versions.
    List(Vec<usize>),
    /// An entry process with a view of this age begins a stream at one of the endpoints that it knows.
    Begin {
        view_age_ms: u64,
        endpoint: usize,
        lifetime_ms: u64,
    },
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let pause_ms = prop_oneof![
        4 => 0_u64..20_000,
        1 => 0_u64..2 * BASE_RETIREMENT_MS,
    ];
    let versions = prop::collection::vec(0_usize..3, 1..5);
    let begin = (
        0..=4 * MAX_BASE_VERSION_AGE_MS,
        0_usize..4,
        0..=MAX_STREAM_LIFETIME_MS,
    );
    let step = prop_oneof![
        1 => versions.prop_map(Step::List),
        2 => begin.prop_map(|(view_age_ms, endpoint, lifetime_ms)| Step::Begin {
            view_age_ms,
            endpoint,
            lifetime_ms,
        }),
    ];
    (pause_ms, step)
}

/// A stream that its caller may resume until `ends_ms`.
struct Stream {
    digest: u64,
    version: SoftwareVersion,
    ends_ms: u64,
}

proptest! {
    // Views that are too old matter in few histories.
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Guards against a stream that is taken for one of another software version, whatever versions come
    /// and go and however old the views of entry processes are.
    #[test]
    fn every_stream_is_found_at_the_version_that_began_it(
        history in prop::collection::vec(step(), 1..80),
    ) {
        let mut state = ControlState::new();
        let mut views: BTreeMap<u64, FleetView> = BTreeMap::from([(0, FleetView::new())]);
        let mut streams: Vec<Stream> = Vec::new();
        let mut now_ms = 0;
        for (digest, (pause_ms, step)) in (0..).zip(history) {
            now_ms += pause_ms;
            match step {
                Step::List(versions) => {
                    set_versions(&mut state, now_ms, &versions);
                    views.insert(now_ms, state.view.clone());
                }
                Step::Begin { view_age_ms, endpoint, lifetime_ms } => {
                    let confirmed_ms = now_ms.saturating_sub(view_age_ms);
                    let (_, view) = views.range(..=confirmed_ms).next_back().unwrap();
                    let Some(endpoint) = view.endpoints.values().nth(endpoint) else {
                        continue;
                    };
                    let version = endpoint.software_version.clone();
                    let start = StreamStart {
                        version: &version,
                        base_version: view.base_versions.get(&service()),
                        base_age_ms: now_ms - confirmed_ms,
                        services: 1,
                    };
                    if start.needs_record() {
                        let stream = StreamRecord {
                            digest,
                            service: service(),
                            software_version: version.clone(),
                            lifetime_ms,
                        };
                        apply(&mut state, now_ms, Command::RecordStreams(vec![stream]));
                    }
                    streams.push(Stream { digest, version, ends_ms: now_ms + lifetime_ms });
                }
            }
            streams.retain(|stream| stream.ends_ms > now_ms);
            for stream in &streams {
                let origin = find(&state, Some(stream.digest));
                prop_assert_eq!(origin_version(origin), Some(stream.version.clone()));
            }
        }
    }
}
