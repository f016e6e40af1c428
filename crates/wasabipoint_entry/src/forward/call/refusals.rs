//! Refusals of requests, and what they promise to callers.

use http::StatusCode;
use wasabipoint_kernel::Refusal;

use super::outcome_unknown_refusal;

/// Returns the refusal of an at-most-once request that an endpoint answered with a status for "not
/// run" without stating that it did not run the request. The caller would send the request again if
/// it received the status itself.
pub(super) fn unproven_refusal(status: StatusCode) -> Refusal {
    let status = status.as_u16();
    outcome_unknown_refusal(&format!(
        "the endpoint answered {status}, but may have run the request"
    ))
}

/// Returns whether callers read a status as "not run, and never will be".
pub(super) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
