//! What an endpoint announces about itself in its responses, and whether requests may be sent to it.

/// Longest pause that is observed, in milliseconds. It bounds how long one response can silence an
/// endpoint.
pub const MAX_PAUSE_MS: u64 = 300_000;

/// Time after a pause in which requests return gradually, in milliseconds.
const RETURN_MS: u64 = 1_000;

/// Interval in which the number of requests that may have been sent since the end of a pause doubles,
/// in milliseconds.
const RETURN_STEP_MS: u64 = 100;

/// The time for which an endpoint that turned a request away wants no others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnnouncedPause {
    /// The response asks for no pause.
    #[default]
    None,
    /// The endpoint wants no requests for this number of milliseconds.
    ForMs(u64),
    /// The response asks for a pause in a form that cannot be read.
    Unreadable,
}

impl AnnouncedPause {
    /// Returns a pause of a number of seconds. Negative and infinite numbers cannot be read, and
    /// longer pauses than `MAX_PAUSE_MS` are cut to it.
    pub fn from_seconds(seconds: f64) -> Self {
        if !seconds.is_finite() || seconds < 0.0 {
            return Self::Unreadable;
        }
        let ms = (seconds * 1_000.0).ceil().min(MAX_PAUSE_MS as f64) as u64;
        if ms == 0 { Self::None } else { Self::ForMs(ms) }
    }

    /// Returns what several announcements in one response mean together: the longest pause that can
    /// be read.
    #[must_use]
    pub fn or_longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::ForMs(one), Self::ForMs(other)) => Self::ForMs(one.max(other)),
            (pause @ Self::ForMs(_), _) | (_, pause @ Self::ForMs(_)) => pause,
            (Self::Unreadable, _) | (_, Self::Unreadable) => Self::Unreadable,
            (Self::None, Self::None) => Self::None,
        }
    }
}

/// An announcement of one response, which holds for the endpoint that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Announcement {
    /// Whether the endpoint stops soon and wants no further requests.
    pub is_leaving: bool,
    /// The pause that the endpoint asks for.
    pub pause: AnnouncedPause,
}

/// How an announcement changed the availability of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AvailabilityChange {
    /// Whether the endpoint now leaves and did not before.
    pub has_begun_to_leave: bool,
    /// Length of a pause that ends later than any before, in milliseconds.
    pub pause_ms: Option<u64>,
}

/// A pause and the requests that returned after it.
#[derive(Debug, Clone, Copy)]
struct Pause {
    until_ms: u64,
    sent_since: u64,
}

impl Pause {
    /// Returns the number of requests that may have been sent since the end of the pause.
    fn allowed_requests(&self, now_ms: u64) -> u64 {
        match now_ms.checked_sub(self.until_ms) {
            None => 0,
            Some(elapsed_ms) if elapsed_ms >= RETURN_MS => u64::MAX,
            Some(elapsed_ms) => 1 << (elapsed_ms / RETURN_STEP_MS),
        }
    }
}

/// Availability of one incarnation of an endpoint, as it announced it to this process.
#[derive(Debug, Clone, Default)]
pub struct EndpointAvailability {
    is_leaving: bool,
    pause: Option<Pause>,
}

impl EndpointAvailability {
    /// Records an announcement whose response head arrived at `now_ms`. An incarnation that leaves
    /// never returns. Of several pauses the one that ends last holds, since each was asked for.
    pub fn record(&mut self, announcement: Announcement, now_ms: u64) -> AvailabilityChange {
        let has_begun_to_leave = announcement.is_leaving && !self.is_leaving;
        self.is_leaving |= announcement.is_leaving;
        let mut change = AvailabilityChange {
            has_begun_to_leave,
            pause_ms: None,
        };
        if let AnnouncedPause::ForMs(pause_ms) = announcement.pause {
            let until_ms = now_ms + pause_ms;
            if self.pause.is_none_or(|pause| pause.until_ms < until_ms) {
                self.pause = Some(Pause {
                    until_ms,
                    sent_since: 0,
                });
                change.pause_ms = Some(pause_ms);
            }
        }
        change
    }

    /// Returns whether the endpoint announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether the endpoint pauses.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.pause.is_some_and(|pause| now_ms < pause.until_ms)
    }

    /// Returns the time in milliseconds until another request may be sent after a pause; 0 if one may
    /// be sent now. After a pause requests return gradually, not all that waited at once.
    pub fn ready_in_ms(&self, now_ms: u64) -> u64 {
        let Some(pause) = self.pause else {
            return 0;
        };
        if now_ms < pause.until_ms {
            return pause.until_ms - now_ms;
        }
        if pause.sent_since < pause.allowed_requests(now_ms) {
            return 0;
        }
        RETURN_STEP_MS - (now_ms - pause.until_ms) % RETURN_STEP_MS
    }

    /// Counts a request that is sent. Returns whether it is the first one after a pause.
    pub fn record_send(&mut self, now_ms: u64) -> bool {
        let Some(pause) = &mut self.pause else {
            return false;
        };
        pause.sent_since += 1;
        let is_first = pause.sent_since == 1;
        if pause.allowed_requests(now_ms) == u64::MAX {
            self.pause = None;
        }
        is_first
    }
}
