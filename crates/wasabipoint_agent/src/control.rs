//! The link to control.

use std::time::Duration;

use futures::future::BoxFuture;
use wasabipoint_rpc::{AgentDirective, AgentReport, ControlClient, ControlError};

/// Time in which a report must be answered; another attempt follows with newer state.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends reports to control.
pub trait ControlLink: Send + Sync + 'static {
    /// Reports the state of the endpoint and returns what it is to hold.
    fn report(&self, report: AgentReport) -> BoxFuture<'_, Result<AgentDirective, ControlError>>;
}

/// Reports over tarpc to the control leader.
#[derive(Debug)]
pub struct RpcControlLink {
    client: ControlClient,
}

impl RpcControlLink {
    /// Creates a link over a client.
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
