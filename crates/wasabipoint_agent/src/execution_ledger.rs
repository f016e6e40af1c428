//! The execution ledger: which requests were started, and what became of them.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use wasabipoint_kernel::RequestId;
use wasabipoint_rpc::{Outcome, StoredResponse};

/// Bounds of the ledger.
#[derive(Debug, Clone, Copy)]
pub struct ExecutionBounds {
    /// Stored responses.
    pub responses: usize,
    /// Bytes of stored responses.
    pub response_bytes: usize,
    /// Age after which a stored response is dropped.
    pub response_age_ms: u64,
    /// Request ids that are remembered.
    pub ids: usize,
    /// Age after which an id is forgotten. No request lives longer than the largest deadline.
    pub id_age_ms: u64,
}

impl Default for ExecutionBounds {
    fn default() -> Self {
        Self {
            responses: 4_096,
            response_bytes: 16 * 1_024 * 1_024,
            response_age_ms: 600_000,
            // At the design size an endpoint gets 12 requests/s, which is 50,400 ids in this age.
            ids: 131_072,
            id_age_ms: 4_200_000,
        }
    }
}

/// Whether a dispatched request may run.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// The id is new; the request waits for its start.
    Admitted,
    /// The id was refused and will not run.
    Refused,
    /// Another dispatch of the id waits or runs.
    InProgress,
    /// The request finished with this response.
    Finished(Arc<StoredResponse>),
    /// The request was started and its response is not stored.
    Forgotten,
}

#[derive(Debug, Clone)]
enum Execution {
    Waiting,
    Running,
    Finished(Arc<StoredResponse>),
    Refused,
    Forgotten,
}

/// States of request ids within one run of the agent.
#[derive(Debug)]
pub struct ExecutionLedger {
    bounds: ExecutionBounds,
    executions: HashMap<RequestId, Execution>,
    // Ids that were decided, oldest first, with the time of the decision.
    decided: VecDeque<(u64, RequestId)>,
    // Ids with a stored response, oldest first.
    stored: VecDeque<(u64, RequestId)>,
    stored_bytes: usize,
    // Until then an absent id may be one that was forgotten before its age.
    is_lossy_until_ms: u64,
}

impl ExecutionLedger {
    /// Creates an empty ledger.
    pub fn new(bounds: ExecutionBounds) -> Self {
        Self {
            bounds,
            executions: HashMap::new(),
            decided: VecDeque::new(),
            stored: VecDeque::new(),
            stored_bytes: 0,
            is_lossy_until_ms: 0,
        }
    }

    /// Admits a request unless its id was seen before.
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
            Some(Execution::Forgotten) => Admission::Forgotten,
        }
    }

    /// Starts an admitted request; false when it was refused meanwhile and must not run.
    pub fn start(&mut self, id: RequestId) -> bool {
        match self.executions.get_mut(&id) {
            Some(execution @ Execution::Waiting) => {
                *execution = Execution::Running;
                true
            }
            _ => false,
        }
    }

    /// Notes that an admitted request did not run and never will.
    pub fn refuse(&mut self, id: RequestId, now_ms: u64) {
        self.decide(id, Execution::Refused, now_ms);
    }

    /// Notes the end of a running request, with its response when one is to be stored.
    pub fn finish(&mut self, id: RequestId, response: Option<StoredResponse>, now_ms: u64) {
        match response {
            Some(response) if response.body.len() <= self.bounds.response_bytes => {
                self.stored_bytes += response.body.len();
                self.stored.push_back((now_ms, id));
                self.decide(id, Execution::Finished(Arc::new(response)), now_ms);
            }
            _ => self.decide(id, Execution::Forgotten, now_ms),
        }
    }

    /// Answers what became of a request. A request that did not start never will from then on.
    pub fn outcome(&mut self, id: RequestId, now_ms: u64) -> Outcome {
        self.evict(now_ms);
        match self.executions.get(&id) {
            None if now_ms < self.is_lossy_until_ms => Outcome::Unknown,
            None | Some(Execution::Waiting) => {
                self.refuse(id, now_ms);
                Outcome::NotStarted
            }
            Some(Execution::Refused) => Outcome::NotStarted,
            Some(Execution::Running) => Outcome::Running,
            Some(Execution::Finished(response)) => Outcome::Finished((**response).clone()),
            Some(Execution::Forgotten) => Outcome::Unknown,
        }
    }

    /// Returns the bytes of stored responses.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Returns the number of remembered ids.
    pub fn len(&self) -> usize {
        self.executions.len()
    }

    /// Tells whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.executions.is_empty()
    }

    fn decide(&mut self, id: RequestId, execution: Execution, now_ms: u64) {
        let previous = self.executions.insert(id, execution);
        if matches!(
            previous,
            None | Some(Execution::Waiting | Execution::Running)
        ) {
            self.decided.push_back((now_ms, id));
        }
        self.evict(now_ms);
    }

    fn evict(&mut self, now_ms: u64) {
        while let Some((at_ms, id)) = self.stored.front().copied() {
            let is_old = now_ms.saturating_sub(at_ms) >= self.bounds.response_age_ms;
            let is_over = self.stored.len() > self.bounds.responses
                || self.stored_bytes > self.bounds.response_bytes;
            if !is_old && !is_over {
                break;
            }
            self.stored.pop_front();
            if let Some(execution) = self.executions.get_mut(&id)
                && let Execution::Finished(response) = execution
            {
                self.stored_bytes -= response.body.len();
                *execution = Execution::Forgotten;
            }
        }
        while let Some((at_ms, id)) = self.decided.front().copied() {
            let is_old = now_ms.saturating_sub(at_ms) >= self.bounds.id_age_ms;
            if !is_old && self.decided.len() <= self.bounds.ids {
                break;
            }
            if !is_old {
                self.is_lossy_until_ms = now_ms + self.bounds.id_age_ms;
            }
            self.decided.pop_front();
            if let Some(Execution::Finished(response)) = self.executions.remove(&id) {
                self.stored_bytes -= response.body.len();
                self.stored.retain(|(_, stored)| *stored != id);
            }
        }
    }
}
