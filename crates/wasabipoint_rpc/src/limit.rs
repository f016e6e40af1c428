//! Messages about limits on requests that endpoints name, and about cold endpoints.

use wasabipoint_kernel::{EndpointId, Incarnation, plain_data};

plain_data! {
    copy
    /// What an entry process knows about the remaining cold time of an endpoint.
    pub struct ColdReport {
        /// Time for which the endpoint is cold, in milliseconds; 0 if it is not.
        pub remaining_ms: u64,
        /// Age of the information in milliseconds.
        pub age_ms: u64,
    }
}

plain_data! {
    copy
    /// What the leader knows about the remaining cold time of an endpoint, and what it issues.
    pub struct ColdDirective {
        /// Time for which the endpoint is cold, in milliseconds; 0 if it is not.
        pub remaining_ms: u64,
        /// Age of the information in milliseconds.
        pub age_ms: u64,
        /// Permissions per 1000 seconds that the leader issues to all entry processes.
        pub issued_per_1000_s: u64,
        /// Whether the entry process may use a share of them while it is cut off from the leader.
        pub has_share: bool,
    }
}

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
        /// Remaining cold time; `None` if the entry process knows nothing about it.
        pub cold: Option<ColdReport>,
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
        /// Number of requests that the entry process may send within `lifetime_ms`.
        pub permissions: u32,
        /// Time for which the permissions are valid, counted from the time just before the report
        /// was sent.
        pub lifetime_ms: u64,
        /// Time until another permission is expected, in milliseconds.
        pub ready_in_ms: u64,
        /// Remaining cold time; `None` if the leader knows nothing about it.
        pub cold: Option<ColdDirective>,
    }
}
