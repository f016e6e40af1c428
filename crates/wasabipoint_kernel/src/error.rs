//! The closed list of error kinds, and the table from kind to answer.

use std::fmt;
use std::process::ExitCode;

use serde_json::json;

use crate::plain_data;

plain_data! {
    copy
    /// Whether a refused request ran.
    pub enum RunState {
        /// The request did not run and will not run.
        NotRun,
        /// The request may have run.
        Unknown,
    }
}

impl RunState {
    /// Returns the text that callers see.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
        }
    }
}

plain_data! {
    copy
    /// Whether a caller should try again.
    pub enum RetryAdvice {
        /// The same request will be refused again.
        Never,
        /// The request may succeed after the stated time.
        Later,
    }
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $run:ident, $retry:ident, $exit:literal, $text:literal;)*) => {
        plain_data! {
            copy
            /// Every kind of error that a program of the system reports.
            pub enum ErrorKind {
                $($(#[$doc])* $kind,)*
            }
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the kind's row of the table.
            pub fn properties(self) -> ErrorProperties {
                match self {
                    $(Self::$kind => ErrorProperties {
                        name: $name,
                        status: $status,
                        run: RunState::$run,
                        retry: RetryAdvice::$retry,
                        exit_code: $exit,
                        text: $text,
                    },)*
                }
            }
        }
    };
}

/// What a caller or operator sees for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorProperties {
    /// Name in JSON answers, logs and metrics.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran, unless the place of the error knows better.
    pub run: RunState,
    /// Whether trying again can help.
    pub retry: RetryAdvice,
    /// Exit code of the command line.
    pub exit_code: u8,
    /// Short description.
    pub text: &'static str,
}

error_kinds! {
    /// The request cannot be parsed.
    MalformedRequest = "malformed_request", 400, NotRun, Never, 2, "the request is malformed";
    /// The body is over the bound.
    BodyTooLarge = "body_too_large", 413, NotRun, Never, 2, "the request body is too large";
    /// No key on a keyed route.
    MissingKey = "missing_key", 401, NotRun, Never, 3, "a key is required: authorization: Bearer KEY";
    /// The key is wrong or revoked; the two are not told apart.
    InvalidKey = "invalid_key", 401, NotRun, Never, 3, "the key is not valid";
    /// More than one key header.
    DuplicateKey = "duplicate_key", 400, NotRun, Never, 3, "more than one key was sent";
    /// The operator's token is missing or wrong.
    OperatorUnauthorized = "operator_unauthorized", 401, NotRun, Never, 3, "the operator token is not valid";
    /// The model is not in the inventory.
    ModelUnknown = "model_unknown", 404, NotRun, Never, 4, "the model is unknown";
    /// The customer may not use the model.
    ModelNotAllowed = "model_not_allowed", 403, NotRun, Never, 4, "the customer may not use the model";
    /// No such route, model, key or request.
    NotFound = "not_found", 404, NotRun, Never, 4, "there is no such resource";
    /// The route or path does not take this method.
    MethodNotAllowed = "method_not_allowed", 405, NotRun, Never, 4, "the method is not allowed here";
    /// The customer's rate and burst are used up.
    OverRate = "over_rate", 429, NotRun, Later, 5, "the customer's token rate is used up";
    /// The request needs more tokens than the customer's burst.
    ExceedsBurst = "exceeds_burst", 400, NotRun, Never, 5, "the request needs more tokens than the customer's burst";
    /// The bounded queue is full.
    QueueFull = "queue_full", 503, NotRun, Later, 6, "the queue is full";
    /// The estimate shows that the deadline cannot be met.
    DeadlineUnreachable = "deadline_unreachable", 503, NotRun, Later, 6, "the request cannot be served in time";
    /// The deadline passed before the request ran.
    DeadlineExceeded = "deadline_exceeded", 504, NotRun, Later, 6, "the deadline passed";
    /// Freshness of the configuration cannot be confirmed.
    ConfigurationStale = "configuration_stale", 503, NotRun, Later, 6, "the configuration cannot be confirmed as current";
    /// The process is shutting down.
    Draining = "draining", 503, NotRun, Later, 6, "the process is shutting down";
    /// No endpoint can take the request.
    NoEndpoint = "no_endpoint", 503, NotRun, Later, 6, "no endpoint can take the request";
    /// The endpoint failed while it ran the request.
    EndpointFailed = "endpoint_failed", 502, Unknown, Later, 7, "the endpoint failed";
    /// The answer was lost and the outcome cannot be learnt.
    OutcomeUnknown = "outcome_unknown", 502, Unknown, Never, 7, "the outcome of the request is unknown";
    /// The idempotency key was used with another request.
    IdempotencyMismatch = "idempotency_mismatch", 422, NotRun, Never, 2, "the idempotency key belongs to another request";
    /// The expected version is not the current one.
    VersionConflict = "version_conflict", 409, NotRun, Never, 8, "the expected version is not the current version";
    /// The change id belongs to another change.
    ChangeIdReused = "change_id_reused", 409, NotRun, Never, 8, "the change id belongs to another change";
    /// The member is not the leader.
    NotLeader = "not_leader", 421, NotRun, Later, 9, "this member is not the leader";
    /// No quorum, or the process cannot answer now.
    Unavailable = "unavailable", 503, NotRun, Later, 9, "the service is not available";
    /// The inventory, rules or settings are not valid.
    InvalidConfiguration = "invalid_configuration", 422, NotRun, Never, 10, "the configuration is not valid";
    /// An order does not fit into the endpoint's memory.
    MemoryFull = "memory_full", 507, NotRun, Later, 11, "the memory of the endpoint is full";
    /// The fencing token or incarnation is old.
    FencingStale = "fencing_stale", 412, NotRun, Later, 11, "the order or request is bound to an older owner";
    /// The data folder cannot be used.
    DataFolderUnusable = "data_folder_unusable", 500, NotRun, Never, 12, "the data folder cannot be used";
    /// A fault of the program.
    Internal = "internal", 500, Unknown, Later, 1, "an internal error";
}

impl ErrorKind {
    /// Returns the exit code of a program that ends with this kind.
    pub fn exit_code(self) -> ExitCode {
        ExitCode::from(self.properties().exit_code)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.properties().name)
    }
}

plain_data! {
    data
    /// A refusal or failure as it is told to a caller.
    pub struct Refusal {
        /// The kind, which selects status and text.
        pub kind: ErrorKind,
        /// What was wrong and what would be accepted; never a key or a body.
        pub detail: String,
        /// Whether the request ran.
        pub run: RunState,
        /// When to come back, for kinds whose advice is `Later`.
        pub retry_after_ms: Option<u64>,
    }
}

impl Refusal {
    /// Creates a refusal with the table's run state and no retry time.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            run: kind.properties().run,
            retry_after_ms: None,
        }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// Returns the value of the `retry-after` header: whole seconds, rounded up, at least one.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1))
    }

    /// Returns the JSON body of the refusal.
    pub fn to_json(&self) -> String {
        let answer = self.kind.properties();
        let message = if self.detail.is_empty() {
            answer.text.to_owned()
        } else {
            format!("{}: {}", answer.text, self.detail)
        };
        json!({"error": {
            "kind": answer.name,
            "message": message,
            "run": self.run.as_str(),
            "retry_after_ms": self.retry_after_ms,
        }})
        .to_string()
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Refusal {}
