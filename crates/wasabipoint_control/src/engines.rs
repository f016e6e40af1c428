//! Control of model engines by the leader, which loads models by demand and adapters on request.

mod adapters;
mod change;
mod ledger;
mod planner;
mod planner_input;
mod tracker;

use futures::future::BoxFuture;
use wasabipoint_kernel::{FencingToken, ModelName, plain_data};
use wasabipoint_rpc::EndpointView;

pub use ledger::EngineLedger;
pub(crate) use planner::run_engine_planner;
pub(crate) use tracker::EngineTracker;

plain_data! {
    data
    /// State report of an engine.
    pub struct EngineState {
        /// Models, and adapters as `MODEL/ADAPTER`, that are loaded or being loaded.
        pub models: Vec<ModelName>,
        /// Models whose weights are on the engine's disk or in its memory.
        pub local_models: Vec<ModelName>,
        /// Whether the engine is executing a command.
        pub is_busy: bool,
        /// Number of commands accepted.
        pub sequence: u64,
    }
}

plain_data! {
    copy
    /// Operation of an engine command.
    pub enum EngineOperation {
        /// Loads a model or an adapter.
        Load,
        /// Unloads a model or an adapter.
        Unload,
    }
}

plain_data! {
    data
    /// A command to an engine.
    pub struct EngineCommand {
        /// The operation.
        pub operation: EngineOperation,
        /// The model, or the adapter as `MODEL/ADAPTER`.
        pub model: ModelName,
        /// Number of commands that the engine must have accepted before this one.
        pub expected_sequence: u64,
        /// The process that sends the command.
        pub holder: String,
        /// Fencing token of the sender, which increases with each term.
        pub fencing_token: FencingToken,
    }
}

plain_data! {
    copy
    /// The answer of an engine to a command.
    pub enum CommandAnswer {
        /// The engine executes the command.
        Accepted,
        /// The requested state is already in effect.
        AlreadyHolds,
        /// Another command is in progress, or the sequence number does not match.
        Conflict,
        /// The engine has seen a higher fencing token.
        Fenced,
        /// The engine cannot execute the command.
        Rejected,
        /// The address belongs to another engine.
        WrongEndpoint,
    }
}

/// Sends commands to engines. After an error, the command may or may not have been executed.
pub trait EngineCommander: Send + Sync + 'static {
    /// Queries the state of an engine.
    fn state(&self, endpoint: &EndpointView) -> BoxFuture<'_, Result<EngineState, String>>;
    /// Sends a command to an engine.
    fn command(
        &self,
        endpoint: &EndpointView,
        command: &EngineCommand,
    ) -> BoxFuture<'_, Result<CommandAnswer, String>>;
}
