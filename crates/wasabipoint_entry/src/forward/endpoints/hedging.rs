//! Endpoints for the second attempts of hedged requests.

use super::{Endpoints, SelectedEndpoint, SelectionCriteria};

impl Endpoints {
    /// Selects an endpoint for a second attempt. An endpoint that is avoided since it failed recently
    /// is not used, even if there is no other.
    pub fn select_hedge(
        &self,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> Option<SelectedEndpoint> {
        let selected = self.select(criteria, now_ms)?;
        let state = self.states.get(&selected.endpoint.id)?;
        (state.avoid_until_ms <= now_ms).then_some(selected)
    }

    /// Uses the permission that the limit of a selected endpoint requires.
    pub fn use_permission(&mut self, selected: &SelectedEndpoint, now_ms: u64) {
        let entry_processes = self.entry_processes;
        let (id, incarnation) = (&selected.endpoint.id, selected.endpoint.incarnation);
        let Some(state) = self.state_mut(id, incarnation) else {
            return;
        };
        if let Some(allowance) = &mut state.allowance {
            allowance.take(entry_processes, now_ms);
        }
        state.availability.record_send(now_ms);
    }
}
