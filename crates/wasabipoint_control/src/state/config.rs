//! Inventory, rules and keys.

use std::collections::{BTreeMap, VecDeque};

use wasabipoint_kernel::{ChangeId, ConfigVersion, ErrorKind, KeyId, plain_data};
use wasabipoint_rpc::{FleetChange, KeyRecord};

use super::{CommandOutcome, ConfigBody, ConfigChange, ControlState};

/// Number of changes whose outcome is kept, so that a resent change gets the same one. It suffices
/// for three days at the design size. A change that is resent later gets a conflict, because its
/// expected version is old.
const MAX_CHANGE_RECORDS: usize = 4_096;

plain_data! {
    data
    /// A change and the outcome of its first submission.
    pub struct ChangeRecord {
        /// Digest of the change.
        pub fingerprint: [u8; 32],
        /// Outcome of the first submission.
        pub outcome: CommandOutcome,
    }
}

plain_data! {
    data
    /// Configuration texts and the outcomes of recent changes.
    #[derive(Default)]
    pub struct ConfigState {
        /// The inventory as the operator sent it.
        pub inventory_text: String,
        /// The rules as the operator sent them.
        pub rules_text: String,
        /// Records of recent changes by change id.
        pub change_records: BTreeMap<ChangeId, ChangeRecord>,
        /// Change ids from oldest to newest.
        pub change_order: VecDeque<ChangeId>,
    }
}

impl ConfigState {
    /// Returns the recorded outcome of a change id, or a refusal if another change has used the id.
    fn recorded_outcome(
        &self,
        change_id: &ChangeId,
        fingerprint: &[u8; 32],
    ) -> Option<CommandOutcome> {
        let record = self.change_records.get(change_id)?;
        if record.fingerprint == *fingerprint {
            return Some(record.outcome.clone());
        }
        Some(CommandOutcome::refused(
            ErrorKind::ChangeIdReused,
            format!("change id {change_id}"),
        ))
    }

    fn record_outcome(
        &mut self,
        change_id: &ChangeId,
        fingerprint: [u8; 32],
        outcome: &CommandOutcome,
    ) {
        let record = ChangeRecord {
            fingerprint,
            outcome: outcome.clone(),
        };
        self.change_records.insert(change_id.clone(), record);
        self.change_order.push_back(change_id.clone());
        if self.change_order.len() > MAX_CHANGE_RECORDS
            && let Some(oldest) = self.change_order.pop_front()
        {
            self.change_records.remove(&oldest);
        }
    }
}

impl ControlState {
    pub(super) fn apply_config(&mut self, change: ConfigChange) -> CommandOutcome {
        let recorded = self
            .config
            .recorded_outcome(&change.change_id, &change.fingerprint);
        if let Some(recorded) = recorded {
            return recorded;
        }
        let current = self.view.config_version;
        let outcome = if change.expected == current {
            let next = ConfigVersion(current.0 + 1);
            self.replace_content(change.body, change.text);
            self.publish_change(FleetChange::Config(next));
            CommandOutcome::Applied(next)
        } else {
            CommandOutcome::Conflict {
                expected: change.expected,
                current,
            }
        };
        self.config
            .record_outcome(&change.change_id, change.fingerprint, &outcome);
        outcome
    }

    /// Replaces the inventory or the rules and publishes the differences.
    fn replace_content(&mut self, body: ConfigBody, text: String) {
        match body {
            ConfigBody::Inventory(next) => {
                for change in self.view.inventory.changes_to(&next) {
                    self.publish_change(FleetChange::Inventory(change));
                }
                self.quota.set_customers(self.time_ms, &next.customers);
                self.config.inventory_text = text;
            }
            ConfigBody::Rules(rules) => {
                self.publish_change(FleetChange::Rules(rules));
                self.config.rules_text = text;
            }
        }
    }

    pub(super) fn add_key(
        &mut self,
        change_id: &ChangeId,
        fingerprint: [u8; 32],
        key: KeyRecord,
    ) -> CommandOutcome {
        if let Some(recorded) = self.config.recorded_outcome(change_id, &fingerprint) {
            return recorded;
        }
        let outcome = if !self.view.inventory.customers.contains_key(&key.customer) {
            CommandOutcome::refused(ErrorKind::NotFound, format!("customer {}", key.customer))
        } else if self.view.keys.contains_key(&key.id) {
            CommandOutcome::refused(ErrorKind::ChangeIdReused, format!("key {} exists", key.id))
        } else {
            self.publish_change(FleetChange::PutKey(key));
            CommandOutcome::Done
        };
        self.config.record_outcome(change_id, fingerprint, &outcome);
        outcome
    }

    pub(super) fn revoke_key(
        &mut self,
        change_id: &ChangeId,
        fingerprint: [u8; 32],
        id: &KeyId,
    ) -> CommandOutcome {
        if let Some(recorded) = self.config.recorded_outcome(change_id, &fingerprint) {
            return recorded;
        }
        let outcome = if self.view.keys.contains_key(id) {
            self.publish_change(FleetChange::RevokeKey(id.clone()));
            CommandOutcome::Done
        } else {
            CommandOutcome::refused(ErrorKind::NotFound, format!("key {id}"))
        };
        self.config.record_outcome(change_id, fingerprint, &outcome);
        outcome
    }
}
