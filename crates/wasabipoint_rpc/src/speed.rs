//! Messages about the speed of endpoints.

use wasabipoint_kernel::{EndpointId, Incarnation, plain_data};

plain_data! {
    data
    /// Time per event that an entry process measured at an endpoint.
    pub struct SpeedReport {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Incarnation of the endpoint.
        pub incarnation: Incarnation,
        /// Median time between two events of a stream, in microseconds.
        pub event_us: u32,
        /// Number of gaps that it is based on.
        pub samples: u32,
        /// Age in milliseconds.
        pub age_ms: u64,
    }
}

plain_data! {
    data
    /// Time per event at an endpoint, combined from the reports of all entry processes.
    pub struct SpeedDirective {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Incarnation of the endpoint.
        pub incarnation: Incarnation,
        /// Time between two events of a stream, in microseconds.
        pub event_us: u32,
        /// Age of the newest measurement in milliseconds.
        pub age_ms: u64,
    }
}
