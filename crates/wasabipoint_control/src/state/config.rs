//! Inventory, rules and keys.

use std::collections::{BTreeMap, VecDeque};

use wasabipoint_kernel::{ChangeId, ConfigVersion, ErrorKind, KeyId, plain_data};
use wasabipoint_rpc::{FleetChange, KeyRecord};

use super::{ConfigBody, ConfigChange, ControlState, Outcome};

/// Change ids kept for resent changes: three days at the design size. A change that is resent
/// later gets a conflict, because its expected version is old.
const KEPT_CHANGE_IDS: usize = 4_096;

plain_data! {
    data
    /// The first answer to a change.
    pub struct ChangeRecord {
        /// Digest of the change.
        pub fingerprint: [u8; 32],
        /// The answer.
        pub outcome: Outcome,
    }
}

plain_data! {
    data
    /// Texts of the configuration, and the answers to recent changes.
    #[derive(Default)]
    pub struct ConfigState {
        /// The inventory as the operator sent it.
        pub inventory_text: String,
        /// The rules as the operator sent them.
        pub rules_text: String,
        /// Answers by change id.
        pub answers: BTreeMap<ChangeId, ChangeRecord>,
        /// Change ids from oldest to newest.
        pub order: VecDeque<ChangeId>,
    }
}

impl ConfigState {
    /// Returns the first answer to a change that was seen before.
    fn earlier_answer(&self, change_id: &ChangeId, fingerprint: &[u8; 32]) -> Option<Outcome> {
        let record = self.answers.get(change_id)?;
        if record.fingerprint == *fingerprint {
            return Some(record.outcome.clone());
        }
        Some(Outcome::refused(
            ErrorKind::ChangeIdReused,
            format!("change id {change_id}"),
        ))
    }

    fn remember(&mut self, change_id: &ChangeId, fingerprint: [u8; 32], outcome: &Outcome) {
        let record = ChangeRecord {
            fingerprint,
            outcome: outcome.clone(),
        };
        self.answers.insert(change_id.clone(), record);
        self.order.push_back(change_id.clone());
        if self.order.len() > KEPT_CHANGE_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}

impl ControlState {
    pub(super) fn apply_config(&mut self, change: ConfigChange) -> Outcome {
        let earlier = self
            .config
            .earlier_answer(&change.change_id, &change.fingerprint);
        if let Some(earlier) = earlier {
            return earlier;
        }
        let current = self.view.config_version;
        let outcome = if change.expected == current {
            let next = ConfigVersion(current.0 + 1);
            self.install(change.body, change.text);
            self.change_view(FleetChange::Config(next));
            Outcome::Applied(next)
        } else {
            Outcome::Conflict {
                expected: change.expected,
                current,
            }
        };
        self.config
            .remember(&change.change_id, change.fingerprint, &outcome);
        outcome
    }

    fn install(&mut self, body: ConfigBody, text: String) {
        match body {
            ConfigBody::Inventory(next) => {
                for change in self.view.inventory.changes_to(&next) {
                    self.change_view(FleetChange::Inventory(change));
                }
                self.quota.set_customers(self.time_ms, &next.customers);
                self.config.inventory_text = text;
            }
            ConfigBody::Rules(rules) => {
                self.change_view(FleetChange::Rules(rules));
                self.config.rules_text = text;
            }
        }
    }

    pub(super) fn add_key(
        &mut self,
        change_id: &ChangeId,
        fingerprint: [u8; 32],
        key: KeyRecord,
    ) -> Outcome {
        if let Some(earlier) = self.config.earlier_answer(change_id, &fingerprint) {
            return earlier;
        }
        let outcome = if !self.view.inventory.customers.contains_key(&key.customer) {
            Outcome::refused(ErrorKind::NotFound, format!("customer {}", key.customer))
        } else if self.view.keys.contains_key(&key.id) {
            Outcome::refused(ErrorKind::ChangeIdReused, format!("key {} exists", key.id))
        } else {
            self.change_view(FleetChange::PutKey(key));
            Outcome::Done
        };
        self.config.remember(change_id, fingerprint, &outcome);
        outcome
    }

    pub(super) fn revoke_key(
        &mut self,
        change_id: &ChangeId,
        fingerprint: [u8; 32],
        id: &KeyId,
    ) -> Outcome {
        if let Some(earlier) = self.config.earlier_answer(change_id, &fingerprint) {
            return earlier;
        }
        let outcome = if self.view.keys.contains_key(id) {
            self.change_view(FleetChange::RevokeKey(id.clone()));
            Outcome::Done
        } else {
            Outcome::refused(ErrorKind::NotFound, format!("key {id}"))
        };
        self.config.remember(change_id, fingerprint, &outcome);
        outcome
    }
}
