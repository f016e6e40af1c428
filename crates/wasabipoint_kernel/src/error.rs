//! All error kinds and the table of their properties.

use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::json;

use crate::plain_data;

plain_data! {
    copy
    /// Whether a refused or failed request was executed.
    pub enum RunState {
        /// The request was not executed and will not be.
        NotRun,
        /// The request may have been executed.
        Unknown,
    }
}

impl RunState {
    /// Returns the text used in responses to callers.
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
        /// Retrying the same request cannot succeed.
        Never,
        /// The request may succeed after the retry time.
        Later,
    }
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $run_state:ident, $retry:ident, $exit:literal, $text:literal;)*) => {
        plain_data! {
            copy
            /// Every kind of error that the programs report.
            pub enum ErrorKind {
                $($(#[$doc])* $kind,)*
            }
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the properties of the kind.
            pub fn properties(self) -> ErrorProperties {
                match self {
                    $(Self::$kind => ErrorProperties {
                        name: $name,
                        status: $status,
                        run_state: RunState::$run_state,
                        retry: RetryAdvice::$retry,
                        exit_code: $exit,
                        text: $text,
                    },)*
                }
            }
        }
    };
}

/// How an error kind appears to callers and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorProperties {
    /// Name in JSON responses, logs and metrics.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Default run state; the code that reports the error may override it.
    pub run_state: RunState,
    /// Whether a retry may succeed.
    pub retry: RetryAdvice,
    /// Exit code of the command line.
    pub exit_code: u8,
    /// Message in responses, ahead of the detail of a refusal.
    pub text: &'static str,
}

error_kinds! {
    /// The request cannot be parsed.
    MalformedRequest = "malformed_request", 400, NotRun, Never, 2, "the request is malformed";
    /// The body exceeds the size limit.
    BodyTooLarge = "body_too_large", 413, NotRun, Never, 2, "the request body is too large";
    /// A route that requires a key was called without one.
    MissingKey = "missing_key", 401, NotRun, Never, 3, "a key is required: authorization: Bearer KEY";
    /// The key is wrong or revoked; callers cannot distinguish the two.
    InvalidKey = "invalid_key", 401, NotRun, Never, 3, "the key is not valid";
    /// The request has more than one key header.
    DuplicateKey = "duplicate_key", 400, NotRun, Never, 3, "more than one key was sent";
    /// The operator's token is missing or wrong.
    OperatorUnauthorized = "operator_unauthorized", 401, NotRun, Never, 3, "the operator token is not valid";
    /// The model is not in the inventory.
    ModelUnknown = "model_unknown", 404, NotRun, Never, 4, "the model is unknown";
    /// The customer may not use the model.
    ModelNotAllowed = "model_not_allowed", 403, NotRun, Never, 4, "the customer may not use the model";
    /// The route, model, key or request does not exist.
    NotFound = "not_found", 404, NotRun, Never, 4, "there is no such resource";
    /// The route or path does not support this method.
    MethodNotAllowed = "method_not_allowed", 405, NotRun, Never, 4, "the method is not allowed here";
    /// The customer's rate and burst are used up.
    OverRate = "over_rate", 429, NotRun, Later, 5, "the customer's token rate is used up";
    /// The request needs more tokens than the customer's burst.
    ExceedsBurst = "exceeds_burst", 400, NotRun, Never, 5, "the request needs more tokens than the customer's burst";
    /// The request queue has reached its limit.
    QueueFull = "queue_full", 503, NotRun, Later, 6, "the queue is full";
    /// The estimated wait exceeds the deadline.
    DeadlineUnreachable = "deadline_unreachable", 503, NotRun, Later, 6, "the request cannot be served in time";
    /// The deadline passed before the request was executed.
    DeadlineExceeded = "deadline_exceeded", 504, NotRun, Later, 6, "the deadline passed";
    /// Control has not confirmed recently that the configuration is current.
    ConfigurationStale = "configuration_stale", 503, NotRun, Later, 6, "the configuration cannot be confirmed as current";
    /// The process is shutting down.
    Draining = "draining", 503, NotRun, Later, 6, "the process is shutting down";
    /// No endpoint can take the request.
    NoEndpoint = "no_endpoint", 503, NotRun, Later, 6, "no endpoint can take the request";
    /// The endpoint failed while executing the request.
    EndpointFailed = "endpoint_failed", 502, Unknown, Later, 7, "the endpoint failed";
    /// The response was lost and the outcome cannot be determined.
    OutcomeUnknown = "outcome_unknown", 502, Unknown, Never, 7, "the outcome of the request is unknown";
    /// The idempotency key was already used for a different request.
    IdempotencyMismatch = "idempotency_mismatch", 422, NotRun, Never, 2, "the idempotency key belongs to another request";
    /// The expected version is not the current one.
    VersionConflict = "version_conflict", 409, NotRun, Never, 8, "the expected version is not the current version";
    /// The change id was already used for a different change.
    ChangeIdReused = "change_id_reused", 409, NotRun, Never, 8, "the change id belongs to another change";
    /// The member is not the leader.
    NotLeader = "not_leader", 421, NotRun, Later, 9, "this member is not the leader";
    /// There is no quorum, or the process cannot respond at present.
    Unavailable = "unavailable", 503, NotRun, Later, 9, "the service is not available";
    /// The inventory, rules or settings are not valid.
    InvalidConfiguration = "invalid_configuration", 422, NotRun, Never, 10, "the configuration is not valid";
    /// A model or adapter does not fit into the endpoint's memory.
    MemoryFull = "memory_full", 507, NotRun, Later, 11, "the memory of the endpoint is full";
    /// The fencing token or incarnation is outdated.
    FencingStale = "fencing_stale", 412, NotRun, Later, 11, "the order or request is bound to an older owner";
    /// The data folder cannot be used.
    DataFolderUnusable = "data_folder_unusable", 500, NotRun, Never, 12, "the data folder cannot be used";
    /// A bug in the program.
    Internal = "internal", 500, Unknown, Later, 1, "an internal error";
    /// The request or a part of its prompt is quarantined because endpoints crashed on it.
    PromptQuarantined = "prompt_quarantined", 503, NotRun, Later, 6, "the request or a part of its prompt is quarantined";
}

impl ErrorKind {
    /// Returns the exit code of a program that terminates with this error.
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
    /// A refusal or failure as reported to a caller.
    pub struct Refusal {
        /// The kind, which selects status and text.
        pub kind: ErrorKind,
        /// What is wrong and what would be accepted. Never contains a key or a body.
        pub detail: String,
        /// Whether the request was executed.
        pub run_state: RunState,
        /// Time after which to retry, for kinds whose advice is `Later`.
        pub retry_after_ms: Option<u64>,
    }
}

impl Refusal {
    /// Creates a refusal with the default run state of its kind and no retry time.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            run_state: kind.properties().run_state,
            retry_after_ms: None,
        }
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Replaces the time after which to retry, if the refusal has one.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        if let Some(retry_after_ms) = &mut self.retry_after_ms {
            *retry_after_ms = retry_after.as_millis() as u64;
        }
        self
    }

    /// Overrides whether the request was executed.
    #[must_use]
    pub fn with_run_state(mut self, run_state: RunState) -> Self {
        self.run_state = run_state;
        self
    }

    /// Returns the value of the `retry-after` header: whole seconds, rounded up, at least one.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1))
    }

    /// Returns the JSON body of the refusal.
    pub fn to_json(&self) -> String {
        let properties = self.kind.properties();
        let message = if self.detail.is_empty() {
            properties.text.to_owned()
        } else {
            format!("{}: {}", properties.text, self.detail)
        };
        json!({"error": {
            "kind": properties.name,
            "message": message,
            "run": self.run_state.as_str(),
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
