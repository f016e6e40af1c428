//! The software versions that began the streams which callers may still resume.
//!
//! A stream without a record belongs to the base version of its service. The base version changes only
//! when no such stream of the old one can be resumed any more.

use std::collections::BTreeMap;

use wasabipoint_kernel::{ErrorKind, ServiceName, SoftwareVersion, plain_data};
use wasabipoint_policy::{
    BASE_RETIREMENT_MS, BaseVersionStep, BaseVersionView, MAX_STREAM_LIFETIME_MS, next_base_version,
};
use wasabipoint_rpc::{EndpointView, FleetChange, StreamOrigin, StreamQuery, StreamRecord};

use super::{CommandOutcome, ControlState};

/// Interval at which expired records are removed, in milliseconds of log time.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// Maximum number of records, which bounds memory and snapshots to a few megabytes. The design size has
/// some ten thousand streams that callers still wait for.
const MAX_RECORDS: usize = 200_000;

plain_data! {
    data
    /// Records of one service and software version.
    pub struct VersionRecords {
        /// The service.
        pub service: ServiceName,
        /// The software version that began the streams.
        pub software_version: SoftwareVersion,
        /// Expiry time of each record in log time, by the digest of its stream.
        pub expiry_ms: BTreeMap<u64, u64>,
    }
}

plain_data! {
    data
    /// Recorded streams, and base versions without endpoints.
    #[derive(Default)]
    pub struct StreamState {
        /// Records by service and software version.
        pub versions: Vec<VersionRecords>,
        /// Log time at which expired records were last removed.
        pub expired_ms: u64,
        /// Log time since which no endpoint has the base version of a service.
        pub base_absent_since_ms: BTreeMap<ServiceName, u64>,
    }
}

impl StreamState {
    /// Returns the number of records.
    pub fn records(&self) -> usize {
        let counts = self.versions.iter().map(|records| records.expiry_ms.len());
        counts.sum()
    }

    fn find(&self, digest: u64) -> Option<&VersionRecords> {
        let mut versions = self.versions.iter();
        versions.find(|records| records.expiry_ms.contains_key(&digest))
    }

    fn insert(&mut self, stream: StreamRecord, now_ms: u64) {
        let is_same = |records: &VersionRecords| {
            records.service == stream.service && records.software_version == stream.software_version
        };
        // A request id that is used again belongs to its last use.
        for records in &mut self.versions {
            if !is_same(records) {
                records.expiry_ms.remove(&stream.digest);
            }
        }
        let index = self.versions.iter().position(is_same);
        let index = index.unwrap_or_else(|| {
            self.versions.push(VersionRecords {
                service: stream.service,
                software_version: stream.software_version,
                expiry_ms: BTreeMap::new(),
            });
            self.versions.len() - 1
        });
        let expires_ms = now_ms + stream.lifetime_ms.min(MAX_STREAM_LIFETIME_MS);
        let known = self.versions[index].expiry_ms.entry(stream.digest);
        let known = known.or_default();
        *known = expires_ms.max(*known);
    }

    fn remove_expired(&mut self, now_ms: u64) {
        if now_ms < self.expired_ms + EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_ms = now_ms;
        for records in &mut self.versions {
            records
                .expiry_ms
                .retain(|_, expires_ms| *expires_ms > now_ms);
        }
        self.versions
            .retain(|records| !records.expiry_ms.is_empty());
    }
}

impl ControlState {
    /// Records streams. Fails without an effect if there are too many.
    pub(super) fn record_streams(&mut self, streams: Vec<StreamRecord>) -> CommandOutcome {
        self.streams.remove_expired(self.time_ms);
        if self.streams.records() + streams.len() > MAX_RECORDS {
            let detail = format!("{MAX_RECORDS} streams are recorded");
            return CommandOutcome::refused(ErrorKind::QueueFull, detail);
        }
        for stream in streams {
            self.streams.insert(stream, self.time_ms);
        }
        CommandOutcome::Done
    }

    /// Returns where a stream began.
    pub fn find_stream(&self, query: &StreamQuery) -> StreamOrigin {
        let recorded = query.digest.and_then(|digest| self.streams.find(digest));
        if let Some(records) = recorded {
            return StreamOrigin::Recorded {
                service: records.service.clone(),
                software_version: records.software_version.clone(),
            };
        }
        let base = self.view.base_versions.get(&query.service);
        match base {
            Some(base) if query.digest.is_some() || self.has_single_version(&query.service) => {
                StreamOrigin::Base(base.clone())
            }
            _ => StreamOrigin::Unknown,
        }
    }

    /// Returns whether only the base version of a service can have begun a stream.
    fn has_single_version(&self, service: &ServiceName) -> bool {
        let base = self.view.base_versions.get(service);
        let mut records = self.streams.versions.iter();
        self.service_endpoints(service)
            .all(|endpoint| Some(&endpoint.software_version) == base)
            && !records.any(|records| {
                records.service == *service && Some(&records.software_version) != base
            })
    }

    fn service_endpoints(&self, service: &ServiceName) -> impl Iterator<Item = &EndpointView> {
        let endpoints = self.view.endpoints.values();
        endpoints.filter(move |endpoint| endpoint.service == *service)
    }

    /// Returns whether the base version of a service is to be replaced.
    pub(crate) fn has_retired_base(&self, now_ms: u64) -> bool {
        let mut absent = self.streams.base_absent_since_ms.iter();
        absent.any(|(service, since_ms)| {
            now_ms >= since_ms + BASE_RETIREMENT_MS
                && self.service_endpoints(service).next().is_some()
        })
    }

    /// Sets the base version of services that have none, and replaces those whose last endpoint is gone
    /// for long enough.
    pub(super) fn update_base_versions(&mut self) {
        let endpoints = self.view.endpoints.values();
        let mut services: Vec<ServiceName> = endpoints.map(|one| one.service.clone()).collect();
        services.extend(self.view.base_versions.keys().cloned());
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.update_base_version(&service);
        }
    }

    fn update_base_version(&mut self, service: &ServiceName) {
        let view = BaseVersionView {
            base: self.view.base_versions.get(service),
            absent_since_ms: self.streams.base_absent_since_ms.get(service).copied(),
            now_ms: self.time_ms,
        };
        let endpoints = self.service_endpoints(service);
        let step = next_base_version(view, endpoints.map(|one| &one.software_version));
        if let BaseVersionStep::AbsentSince(since_ms) = step {
            let absent = &mut self.streams.base_absent_since_ms;
            absent.insert(service.clone(), since_ms);
            return;
        }
        self.streams.base_absent_since_ms.remove(service);
        if let BaseVersionStep::Set(version) = step {
            self.publish_change(FleetChange::SetBaseVersion(service.clone(), version));
        }
    }
}
