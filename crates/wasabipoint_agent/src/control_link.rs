//! The agent's connection to control.

use std::time::Duration;

use futures::future::BoxFuture;
use wasabipoint_rpc::{AgentDirective, AgentReport, ControlClient, ControlError};

/// Timeout of a report. A failed report is not resent, because the next one carries newer state.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends reports to control.
pub trait ControlLink: Send + Sync + 'static {
    /// Reports the state of the endpoint and returns its grants and adapters.
    fn report(&self, report: AgentReport) -> BoxFuture<'_, Result<AgentDirective, ControlError>>;
}

/// Sends reports to the control leader over tarpc.
#[derive(Debug)]
pub struct RpcControlLink {
    client: ControlClient,
}

impl RpcControlLink {
    /// Creates a link that sends reports with a client.
    pub fn new(client: ControlClient) -> Self {
        Self { client }
    }
}

impl ControlLink for RpcControlLink {
    fn report(&self, report: AgentReport) -> BoxFuture<'_, Result<AgentDirective, ControlError>> {
        Box::pin(async move {
            self.client
                .call(Duration::ZERO, REPORT_TIMEOUT, |client, context| {
                    let report = report.clone();
                    async move { client.report_agent(context, report).await }
                })
                .await
        })
    }
}
