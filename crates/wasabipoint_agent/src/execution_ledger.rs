//! The execution ledger: records which requests were started, and their outcomes.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use wasabipoint_kernel::RequestId;
use wasabipoint_rpc::{Outcome, StoredResponse};

/// Limits of the ledger.
#[derive(Debug, Clone, Copy)]
pub struct ExecutionLimits {
    /// Maximum number of stored responses.
    pub max_responses: usize,
    /// Maximum total body bytes of stored responses.
    pub max_response_bytes: usize,
    /// Age at which a stored response is dropped.
    pub max_response_age_ms: u64,
    /// Maximum number of recorded ids of refused or finished requests.
    pub max_ids: usize,
    /// Age at which the id of a refused or finished request is removed. It exceeds the largest
    /// deadline, and no request lives longer than that.
    pub max_id_age_ms: u64,
}

impl Default for ExecutionLimits {
    fn default() -> Self {
        Self {
            max_responses: 4_096,
            max_response_bytes: 16 * 1_024 * 1_024,
            max_response_age_ms: 600_000,
            // At the design load of 12 requests/s per endpoint, 50,400 ids accumulate within
            // `max_id_age_ms`.
            max_ids: 131_072,
            max_id_age_ms: 4_200_000,
        }
    }
}

/// Whether a dispatched request may run.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// The id is new, and the request may be started.
    Admitted,
    /// The request was refused and will not run.
    Refused,
    /// Another dispatch of the request waits or runs.
    InProgress,
    /// The request finished with this response.
    Finished(Arc<StoredResponse>),
    /// The request was started and its response is not stored.
    NotStored,
}

/// State of a request id.
#[derive(Debug, Clone)]
enum Execution {
    Waiting,
    Running,
    Finished(Arc<StoredResponse>),
    Refused,
    NotStored,
}

/// States of the request ids seen by one incarnation of the agent.
#[derive(Debug)]
pub struct ExecutionLedger {
    limits: ExecutionLimits,
    executions: HashMap<RequestId, Execution>,
    // Ids of refused and finished requests with the time of the refusal or the end, oldest first.
    settled: VecDeque<(u64, RequestId)>,
    // Ids with a stored response and the time at which it was stored, oldest first.
    stored: VecDeque<(u64, RequestId)>,
    stored_bytes: usize,
    // Until this time, an absent id may have been removed before its maximum age, and its outcome
    // is unknown.
    incomplete_until_ms: u64,
}

impl ExecutionLedger {
    /// Creates an empty ledger.
    pub fn new(limits: ExecutionLimits) -> Self {
        Self {
            limits,
            executions: HashMap::new(),
            settled: VecDeque::new(),
            stored: VecDeque::new(),
            stored_bytes: 0,
            incomplete_until_ms: 0,
        }
    }

    /// Admits a request unless its id is already recorded.
    pub fn admit(&mut self, id: RequestId, now_ms: u64) -> Admission {
        self.evict(now_ms);
        match self.executions.get(&id) {
            None => {
                self.executions.insert(id, Execution::Waiting);
                Admission::Admitted
            }
            Some(Execution::Waiting | Execution::Running) => Admission::InProgress,
            Some(Execution::Finished(response)) => Admission::Finished(Arc::clone(response)),
            Some(Execution::Refused) => Admission::Refused,
            Some(Execution::NotStored) => Admission::NotStored,
        }
    }

    /// Starts an admitted request. Returns `false` if it was refused meanwhile and must not run.
    pub fn start(&mut self, id: RequestId) -> bool {
        match self.executions.get_mut(&id) {
            Some(execution @ Execution::Waiting) => {
                *execution = Execution::Running;
                true
            }
            _ => false,
        }
    }

    /// Records that a request has not run and never will.
    pub fn refuse(&mut self, id: RequestId, now_ms: u64) {
        self.settle(id, Execution::Refused, now_ms);
    }

    /// Records the end of a running request, with its response if that is to be stored.
    pub fn finish(&mut self, id: RequestId, response: Option<StoredResponse>, now_ms: u64) {
        match response {
            Some(response) if response.body.len() <= self.limits.max_response_bytes => {
                self.stored_bytes += response.body.len();
                self.stored.push_back((now_ms, id));
                self.settle(id, Execution::Finished(Arc::new(response)), now_ms);
            }
            _ => self.settle(id, Execution::NotStored, now_ms),
        }
    }

    /// Returns the outcome of a request. A request that has not started is refused from then on.
    pub fn outcome(&mut self, id: RequestId, now_ms: u64) -> Outcome {
        self.evict(now_ms);
        match self.executions.get(&id) {
            None if now_ms < self.incomplete_until_ms => Outcome::Unknown,
            None | Some(Execution::Waiting) => {
                self.refuse(id, now_ms);
                Outcome::NotStarted
            }
            Some(Execution::Refused) => Outcome::NotStarted,
            Some(Execution::Running) => Outcome::Running,
            Some(Execution::Finished(response)) => Outcome::Finished((**response).clone()),
            Some(Execution::NotStored) => Outcome::Unknown,
        }
    }

    /// Returns the total body bytes of stored responses.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Returns the number of recorded ids.
    pub fn len(&self) -> usize {
        self.executions.len()
    }

    /// Returns whether no id is recorded.
    pub fn is_empty(&self) -> bool {
        self.executions.is_empty()
    }

    fn settle(&mut self, id: RequestId, execution: Execution, now_ms: u64) {
        let previous = self.executions.insert(id, execution);
        if matches!(
            previous,
            None | Some(Execution::Waiting | Execution::Running)
        ) {
            self.settled.push_back((now_ms, id));
        }
        self.evict(now_ms);
    }

    fn evict(&mut self, now_ms: u64) {
        while let Some((recorded_ms, id)) = self.stored.front().copied() {
            let is_expired = now_ms.saturating_sub(recorded_ms) >= self.limits.max_response_age_ms;
            let exceeds_limits = self.stored.len() > self.limits.max_responses
                || self.stored_bytes > self.limits.max_response_bytes;
            if !is_expired && !exceeds_limits {
                break;
            }
            self.stored.pop_front();
            if let Some(execution) = self.executions.get_mut(&id)
                && let Execution::Finished(response) = execution
            {
                self.stored_bytes -= response.body.len();
                *execution = Execution::NotStored;
            }
        }
        while let Some((recorded_ms, id)) = self.settled.front().copied() {
            let is_expired = now_ms.saturating_sub(recorded_ms) >= self.limits.max_id_age_ms;
            if !is_expired && self.settled.len() <= self.limits.max_ids {
                break;
            }
            if !is_expired {
                self.incomplete_until_ms = now_ms + self.limits.max_id_age_ms;
            }
            self.settled.pop_front();
            if let Some(Execution::Finished(response)) = self.executions.remove(&id) {
                self.stored_bytes -= response.body.len();
                self.stored.retain(|(_, stored)| *stored != id);
            }
        }
    }
}
