//! Implementation of the consensus crate's `StateMachine` for the replicated state.

mod earlier;

use tokio::sync::watch;
use wasabipoint_consensus::{RestoreError, StateMachine};
use wasabipoint_kernel::ErrorKind;

use crate::state::{CommandOutcome, ControlState, StampedCommand};

/// Version of the snapshot encoding, stored as the first byte.
const SNAPSHOT_VERSION: u8 = 5;

/// The replicated state, with notification of new revisions of the fleet view.
pub struct ControlStateMachine {
    state: ControlState,
    revision: watch::Sender<u64>,
}

impl ControlStateMachine {
    /// Creates a state machine with empty state.
    pub fn new() -> Self {
        Self {
            state: ControlState::new(),
            revision: watch::Sender::new(0),
        }
    }

    /// Returns the applied state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Subscribes to the revision of the fleet view.
    pub fn subscribe_revision(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    fn publish_revision(&self) {
        let revision = self.state.view.revision;
        self.revision.send_if_modified(|published| {
            let is_changed = *published != revision;
            *published = revision;
            is_changed
        });
    }
}

impl Default for ControlStateMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl StateMachine for ControlStateMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        // A command that this release cannot decode is refused in the same way on every member.
        let outcome = match postcard::from_bytes::<StampedCommand>(command) {
            Ok(stamped) => self.state.apply(stamped),
            Err(_) => CommandOutcome::refused(ErrorKind::Internal, "the command cannot be decoded"),
        };
        self.publish_revision();
        encode(&outcome)
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = vec![SNAPSHOT_VERSION];
        bytes.extend(encode(&self.state));
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let decoded = match snapshot.split_first() {
            Some((&SNAPSHOT_VERSION, encoded)) => postcard::from_bytes(encoded),
            Some((&earlier::VERSION_4, encoded)) => earlier::decode_version_4(encoded),
            Some((&earlier::VERSION_3, encoded)) => earlier::decode_version_3(encoded),
            Some((&earlier::VERSION_2, encoded)) => earlier::decode_version_2(encoded),
            _ => {
                return Err(RestoreError::new(
                    "unknown version of the snapshot encoding",
                ));
            }
        };
        self.state = decoded.map_err(|error| RestoreError::new(error.to_string()))?;
        self.publish_revision();
        Ok(())
    }
}

pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("serialization into memory succeeds")
}
