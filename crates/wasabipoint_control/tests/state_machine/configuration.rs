//! Compare-and-set of the configuration under random submissions.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wasabipoint_control::{CommandOutcome, ControlState};
use wasabipoint_kernel::{ConfigVersion, ErrorKind};

use crate::samples::{apply, apply_inventory, customer, inventory};

/// A submitted change: offset of its expected version from the current one, change id and rate.
type Submission = (i64, u32, u64);

fn submission() -> impl Strategy<Value = Submission> {
    (-2_i64..=1, 0_u32..12, 1_u64..4)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against two changes that are applied to the same version, a resent change that is
    /// applied twice or has another outcome, and a version that decreases.
    #[test]
    fn one_change_wins_per_version(submissions in prop::collection::vec(submission(), 1..80)) {
        let mut state = ControlState::new();
        let mut first_outcomes: BTreeMap<u32, (u64, u64, CommandOutcome)> = BTreeMap::new();
        for (offset, change, rate) in submissions {
            let current = state.view.config_version;
            let expected = current.0.saturating_add_signed(offset);
            let listed = inventory(Vec::new(), vec![customer(rate, 100)]);
            let outcome = apply(&mut state, 0, apply_inventory(expected, change, listed.clone()));
            let next = state.view.config_version;
            if let Some((first_expected, first_rate, first)) = first_outcomes.get(&change) {
                prop_assert_eq!(next, current, "a resent change id changes nothing");
                if (*first_expected, *first_rate) == (expected, rate) {
                    prop_assert_eq!(&outcome, first);
                } else {
                    let is_reused = matches!(
                        outcome,
                        CommandOutcome::Refused { kind: ErrorKind::ChangeIdReused, .. }
                    );
                    prop_assert!(is_reused, "{:?}", outcome);
                }
                continue;
            }
            if expected == current.0 {
                prop_assert_eq!(next, ConfigVersion(current.0 + 1));
                prop_assert_eq!(&outcome, &CommandOutcome::Applied(next));
                prop_assert_eq!(&state.view.inventory, &listed);
            } else {
                prop_assert_eq!(next, current);
                let expected = ConfigVersion(expected);
                prop_assert_eq!(&outcome, &CommandOutcome::Conflict { expected, current });
            }
            first_outcomes.insert(change, (expected, rate, outcome));
        }
    }
}
