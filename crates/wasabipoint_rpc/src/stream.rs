//! Messages about the software versions that began streams.

use wasabipoint_kernel::{ServiceName, SoftwareVersion, plain_data};

/// Maximum number of streams that one call records.
pub const MAX_STREAMS_PER_CALL: usize = 1_000;

plain_data! {
    data
    /// A stream whose caller is about to get its first event.
    pub struct StreamRecord {
        /// Digest of the customer and the id of its request.
        pub digest: u64,
        /// Service of the endpoint that writes the stream.
        pub service: ServiceName,
        /// Software version of that endpoint.
        pub software_version: SoftwareVersion,
        /// Time for which the caller may resume the stream, in milliseconds.
        pub lifetime_ms: u64,
    }
}

plain_data! {
    data
    /// A question where a stream began that a caller resumes.
    pub struct StreamQuery {
        /// Digest of the customer and the id of the request that brought the first event, `None` if the
        /// caller does not name one.
        pub digest: Option<u64>,
        /// Service that the route selects for a stream without a record.
        pub service: ServiceName,
    }
}

plain_data! {
    data
    /// Where a stream began.
    pub enum StreamOrigin {
        /// The stream is recorded.
        Recorded {
            /// Service of the endpoint that began it.
            service: ServiceName,
            /// Software version of that endpoint.
            software_version: SoftwareVersion,
        },
        /// The stream has no record, so that this base version of the service began it.
        Base(SoftwareVersion),
        /// Nothing tells which version began the stream.
        Unknown,
    }
}
