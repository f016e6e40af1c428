//! Commands of the leader to model engines: models by demand, adapters on request.

mod adapters;
mod book;
mod change;
mod driver;
mod ledger;
mod view;

use futures::future::BoxFuture;
use wasabipoint_kernel::{FencingToken, ModelName, plain_data};
use wasabipoint_rpc::EndpointView;

pub(crate) use book::EngineTracker;
pub(crate) use driver::run_engine_planner;
pub use ledger::EngineLedger;

plain_data! {
    data
    /// What an engine says of itself.
    pub struct EngineState {
        /// Models, and adapters as `MODEL/ADAPTER`, that it holds or is loading.
        pub models: Vec<ModelName>,
        /// Models whose weights are on its disk or in its memory.
        pub local_models: Vec<ModelName>,
        /// Whether a command is in progress.
        pub is_busy: bool,
        /// Number of commands accepted.
        pub sequence: u64,
    }
}

plain_data! {
    copy
    /// What a command does.
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
        /// What it does.
        pub operation: EngineOperation,
        /// The model, or `MODEL/ADAPTER`.
        pub model: ModelName,
        /// The number of commands that the engine has accepted before this one.
        pub expected_sequence: u64,
        /// The commanding process.
        pub holder: String,
        /// Its fencing token, which grows with each term.
        pub fencing_token: FencingToken,
    }
}

plain_data! {
    copy
    /// The answer of an engine to a command.
    pub enum CommandAnswer {
        /// The command is carried out.
        Accepted,
        /// What the command asks for holds already.
        AlreadyHolds,
        /// Another command is in progress, or the sequence number differs.
        Conflict,
        /// A higher fencing token was seen.
        Fenced,
        /// The command is not possible.
        Rejected,
        /// Another engine has the address.
        WrongEndpoint,
    }
}

/// Sends commands to engines. An error leaves open whether the command is carried out.
pub trait EngineCommander: Send + Sync + 'static {
    /// Asks an engine for its state.
    fn state(&self, endpoint: &EndpointView) -> BoxFuture<'_, Result<EngineState, String>>;
    /// Sends a command.
    fn command(
        &self,
        endpoint: &EndpointView,
        command: &EngineCommand,
    ) -> BoxFuture<'_, Result<CommandAnswer, String>>;
}
