//! Failure domains that operators took out of service.

use wasabipoint_kernel::{ErrorKind, FailureDomain};
use wasabipoint_rpc::FleetChange;

use super::{CommandOutcome, ControlState};

/// Maximum number of failure domains that are out of service, which every entry process holds.
const MAX_DOMAINS_OUT_OF_SERVICE: usize = 256;

impl ControlState {
    /// Takes a failure domain out of service, unless it already is.
    pub(super) fn take_out_of_service(&mut self, domain: FailureDomain) -> CommandOutcome {
        let known = &self.view.out_of_service;
        if known.contains(&domain) {
            return CommandOutcome::Done;
        }
        if known.len() >= MAX_DOMAINS_OUT_OF_SERVICE {
            let detail = format!(
                "at most {MAX_DOMAINS_OUT_OF_SERVICE} failure domains can be out of service"
            );
            return CommandOutcome::refused(ErrorKind::QueueFull, detail);
        }
        self.publish_change(FleetChange::TakeOutOfService(domain));
        CommandOutcome::Done
    }

    /// Returns a failure domain to service, if it is out of service.
    pub(super) fn return_to_service(&mut self, domain: FailureDomain) -> CommandOutcome {
        if self.view.out_of_service.contains(&domain) {
            self.publish_change(FleetChange::ReturnToService(domain));
        }
        CommandOutcome::Done
    }
}
