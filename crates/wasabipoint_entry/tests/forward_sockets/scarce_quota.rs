//! Fixture: a leader whose customers are short of tokens.

use std::sync::{Arc, Mutex};

use slog::Logger;
use wasabipoint_rpc::{FleetView, QuotaGrants, QuotaReply, QuotaRequest, QuotaSlice, QuotaVerdict};

use super::control::StaticControl;
use super::fixture::Fixture;

impl Fixture {
    /// Starts an entry process whose customers are short of tokens.
    pub(crate) async fn start_scarce(
        fleet_view: FleetView,
        scarce: &Arc<ScarceQuota>,
        logger: Logger,
    ) -> Self {
        let control = StaticControl {
            fleet_view: Some(fleet_view),
            scarce: Some(Arc::clone(scarce)),
            ..StaticControl::default()
        };
        Self::start_with(control, logger).await
    }
}

/// A leader whose customers are short of tokens: it answers exchanges with waiting requests as the
/// test says.
pub(crate) struct ScarceQuota {
    /// Returns the verdict of a request, given the number of exchanges before.
    pub(crate) verdict: fn(usize) -> QuotaVerdict,
    pub(crate) requests: Mutex<Vec<QuotaRequest>>,
}

impl ScarceQuota {
    pub(crate) fn new(verdict: fn(usize) -> QuotaVerdict) -> Arc<Self> {
        Arc::new(Self {
            verdict,
            requests: Mutex::default(),
        })
    }

    pub(crate) fn reply(&self, request: QuotaRequest) -> QuotaReply {
        let mut requests = self.requests.lock().unwrap();
        let verdict = (self.verdict)(requests.len());
        let mut reply = QuotaReply {
            grants: QuotaGrants {
                slices: Vec::new(),
                waits: Vec::new(),
            },
            verdicts: Vec::new(),
        };
        for demand in &request.demand {
            for ticket in &demand.tickets {
                reply.verdicts.push((ticket.id, verdict.clone()));
                if verdict == QuotaVerdict::Granted {
                    reply.grants.slices.push(QuotaSlice {
                        slice_id: ticket.id,
                        customer: demand.customer.clone(),
                        tokens: ticket.tokens,
                        lifetime_ms: 60_000,
                    });
                }
            }
        }
        requests.push(request);
        reply
    }
}
