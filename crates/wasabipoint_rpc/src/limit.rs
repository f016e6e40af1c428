//! Messages about limits on requests that endpoints name.

use wasabipoint_kernel::{EndpointId, Incarnation, plain_data};

plain_data! {
    data
    /// A limit that an entry process knows, and the permissions that it requests.
    pub struct LimitReport {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Incarnation of the endpoint.
        pub incarnation: Incarnation,
        /// Requests per 1000 seconds from all entry processes; `None` if the last response named no
        /// limit.
        pub limit_per_1000_s: Option<u64>,
        /// Time since the head of the response that named it, in milliseconds.
        pub age_ms: u64,
        /// Number of requests that found no permission since the last report.
        pub wanted: u32,
    }
}

plain_data! {
    data
    /// A limit that the leader knows, and the permissions that it grants.
    pub struct LimitDirective {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Incarnation of the endpoint.
        pub incarnation: Incarnation,
        /// Requests per 1000 seconds from all entry processes; `None` if the last response named no
        /// limit.
        pub limit_per_1000_s: Option<u64>,
        /// Time since the head of the response that named it, in milliseconds.
        pub age_ms: u64,
        /// Number of requests that the entry process may send.
        pub permissions: u32,
        /// Time until another permission is expected, in milliseconds.
        pub ready_in_ms: u64,
    }
}
