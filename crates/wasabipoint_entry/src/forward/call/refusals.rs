//! Refusals of requests, and what they promise to callers.

use http::StatusCode;
use wasabipoint_kernel::{ErrorKind, Refusal, RunState, ServiceName};

use super::Call;
use crate::forward::endpoints::HomeRegions;
use crate::forward::{Forwarder, draining_refusal};

/// Retry delay announced to refused callers, in milliseconds. The load is expected to have changed
/// by then.
const RETRY_AFTER_MS: u64 = 500;

/// Retry delay announced while failure domains are out of service, in milliseconds. An operator returns
/// them at an unknown time, and a caller comes back only once.
const OUT_OF_SERVICE_RETRY_AFTER_MS: u64 = 2_000;

/// Reason of a refusal because of home regions.
const OUTSIDE_DETAIL: &str =
    "no endpoint of the service is in the home regions of the route and the customer";

impl Forwarder {
    /// Returns whether no endpoint of a service is in the home regions of a request.
    fn is_outside(&self, service: &ServiceName, homes: &HomeRegions<'_>) -> bool {
        !homes.is_unrestricted() && self.lock().endpoints.is_outside(service, homes)
    }

    /// Refuses a request that was not admitted yet if no endpoint of its service is in the home
    /// regions, so that it takes no tokens of its customer.
    pub(in crate::forward) fn check_homes(
        &self,
        service: &ServiceName,
        homes: &HomeRegions<'_>,
    ) -> Result<(), Refusal> {
        if self.is_outside(service, homes) {
            let refusal = Refusal::new(ErrorKind::NoEndpoint, OUTSIDE_DETAIL);
            return Err(refusal.with_retry_after_ms(RETRY_AFTER_MS));
        }
        Ok(())
    }
}

impl Call {
    /// Returns the refusal of a request that cannot be served now. Its outcome is unknown if an
    /// earlier attempt may have run.
    pub(super) fn unavailable_refusal(&self, detail: &str) -> Refusal {
        if self.attempts.executions() > 0 {
            return outcome_unknown_refusal(detail);
        }
        Refusal::new(ErrorKind::NoEndpoint, detail).with_retry_after_ms(RETRY_AFTER_MS)
    }

    /// Refuses a request whose service has endpoints only in failure domains that are out of service:
    /// when they return is not known.
    pub(super) fn check_in_service(&self) -> Result<(), Refusal> {
        let state = self.forwarder.lock();
        if !state.endpoints.is_service_out(&self.service) {
            return Ok(());
        }
        drop(state);
        let refusal = self.unavailable_refusal("the endpoints' failure domain is out of service");
        if self.attempts.executions() > 0 {
            return Err(refusal);
        }
        Err(refusal.with_retry_after_ms(OUT_OF_SERVICE_RETRY_AFTER_MS))
    }

    /// Refuses a request at once if no endpoint of the service fulfils its lasting conditions.
    pub(super) fn check_conditions(&self) -> Result<(), Refusal> {
        self.check_homes()?;
        self.check_version()
    }

    /// Refuses a request for which no endpoint of the service is in the home regions.
    fn check_homes(&self) -> Result<(), Refusal> {
        if self.forwarder.is_outside(&self.service, &self.homes()) {
            return Err(self.unavailable_refusal(OUTSIDE_DETAIL));
        }
        Ok(())
    }

    /// Refuses to continue a stream if no endpoint of the software version that began it is in service.
    /// Such a version does not return, so that no retry time is given.
    fn check_version(&self) -> Result<(), Refusal> {
        let Some(version) = &self.software_version else {
            return Ok(());
        };
        let state = self.forwarder.lock();
        if state.endpoints.has_version(&self.service, version) {
            return Ok(());
        }
        drop(state);
        let detail = "no endpoint of the software version that began the stream is in service";
        if self.attempts.executions() > 0 {
            return Err(outcome_unknown_refusal(detail));
        }
        Err(Refusal::new(ErrorKind::NoEndpoint, detail))
    }

    /// Returns the refusal of a request that the endpoints turned away, with the end of their pauses if
    /// all of them pause.
    pub(super) fn full_refusal(&self) -> Refusal {
        let refusal = self.unavailable_refusal("the endpoints are full");
        match self.all_ready_in() {
            Some(ready_in) if self.attempts.executions() == 0 => refusal.with_retry_after(ready_in),
            _ => refusal,
        }
    }

    /// Returns the refusal of a request that reached its deadline.
    pub(super) fn timeout_refusal(&self) -> Refusal {
        if self.attempts.executions() == 0 {
            return Refusal::new(ErrorKind::DeadlineUnreachable, "not started in time")
                .with_retry_after_ms(RETRY_AFTER_MS);
        }
        Refusal::new(
            ErrorKind::DeadlineExceeded,
            "the endpoint did not answer in time",
        )
        .with_run_state(RunState::Unknown)
    }

    /// Refuses a request that was not sent to an endpoint yet, once the drain leaves too little time.
    pub(super) fn check_drain(&self) -> Result<(), Refusal> {
        if self.forwarder.is_refusing() && self.attempts.executions() == 0 {
            return Err(draining_refusal());
        }
        Ok(())
    }

    /// Returns the refusal of a request that has no response when the process is about to exit.
    pub(super) fn drain_refusal(&self) -> Refusal {
        if self.attempts.executions() > 0 {
            return outcome_unknown_refusal("the process stops before the endpoint answered");
        }
        draining_refusal()
    }
}

/// Returns the refusal of a request that may have run and whose result is lost.
pub(super) fn outcome_unknown_refusal(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::OutcomeUnknown, detail)
}

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
