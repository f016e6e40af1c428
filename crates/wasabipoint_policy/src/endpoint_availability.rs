//! What an endpoint announces about itself in its responses, and whether requests may be sent to it.

/// An announcement of one response, which holds for the endpoint that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Announcement {
    /// Whether the endpoint stops soon and wants no further requests.
    pub is_leaving: bool,
}

/// How an announcement changed the availability of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AvailabilityChange {
    /// Whether the endpoint now leaves and did not before.
    pub has_begun_to_leave: bool,
}

/// Availability of one incarnation of an endpoint, as it announced it to this process.
#[derive(Debug, Clone, Default)]
pub struct EndpointAvailability {
    is_leaving: bool,
}

impl EndpointAvailability {
    /// Records an announcement. An incarnation that leaves never returns.
    pub fn record(&mut self, announcement: Announcement) -> AvailabilityChange {
        let has_begun_to_leave = announcement.is_leaving && !self.is_leaving;
        self.is_leaving |= announcement.is_leaving;
        AvailabilityChange { has_begun_to_leave }
    }

    /// Returns whether the endpoint announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
