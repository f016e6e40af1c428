//! Fake of all agents; counts executions and follows a plan for each dispatch.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde_json::{Value, json};
use tokio::time::Instant;
use wasabipoint_entry::{AgentError, AgentLink, ResponseChunks};
use wasabipoint_kernel::{ErrorKind, RequestId, RunState};
use wasabipoint_rpc::{
    DispatchRequest, FramePayload, LoadReport, Outcome, OutcomeRequest, StoredResponse,
    StreamFrame, encode_frame, encode_message,
};

/// What a fake agent does with one dispatch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Plan {
    /// The call runs and its whole response arrives.
    Respond,
    /// The connection is refused, so the dispatch is not sent.
    NotConnected,
    /// Neither the call nor an outcome query reaches the agent.
    Unreachable,
    Draining,
    /// The agent has no capacity for the call.
    Full,
    /// The agent reports that the call did not run, although it ran and its response started.
    FalseRefusal,
    /// The connection breaks before the call starts.
    LostBeforeStart,
    /// The connection breaks after the call ran.
    LostAfterRun,
    /// The agent crashes after the call ran, so outcome queries fail.
    CrashedAfterRun,
    /// The connection stays open without sending a byte.
    Hanging,
    /// The call runs, and nothing follows the head.
    SilentAfterHead,
    /// One data frame carries the id of another request.
    OtherRequest,
    /// One data frame arrives twice, with the same sequence number.
    RepeatedSequence,
    /// Two data frames arrive in the wrong order.
    Reordered,
    /// The stream ends without an end frame.
    MissingEnd,
    /// The end frame states one byte too many.
    WrongByteCount,
    /// The call takes this long, with heartbeats.
    Slow(Duration),
}

#[derive(Default)]
struct State {
    plans: VecDeque<Plan>,
    default_plan: Option<Plan>,
    encoded_requests: Vec<u8>,
    requests: Vec<(SocketAddr, DispatchRequest)>,
    executions: HashMap<Vec<u8>, u32>,
    usage_history: Vec<(Instant, u64)>,
    finished_responses: HashMap<RequestId, StoredResponse>,
    refused_ids: HashSet<RequestId>,
    is_outcome_unreachable: bool,
    load_reports: HashMap<u16, LoadReport>,
    cancelled_requests: usize,
}

#[derive(Default)]
pub(crate) struct FakeAgents {
    state: std::sync::Arc<Mutex<State>>,
}

impl FakeAgents {
    pub(crate) fn plan(&self, plans: &[Plan]) {
        self.state.lock().unwrap().plans.extend(plans);
    }

    pub(crate) fn plan_all(&self, plan: Plan) {
        self.state.lock().unwrap().default_plan = Some(plan);
    }

    /// Sets the load that the agent at `port` reports at the end of each response.
    pub(crate) fn report_load(&self, port: u16, load: LoadReport) {
        self.state.lock().unwrap().load_reports.insert(port, load);
    }

    pub(crate) fn sent_bytes(&self) -> Vec<u8> {
        self.state.lock().unwrap().encoded_requests.clone()
    }

    pub(crate) fn requests(&self) -> Vec<(SocketAddr, DispatchRequest)> {
        self.state.lock().unwrap().requests.clone()
    }

    pub(crate) fn executions(&self) -> u32 {
        self.state.lock().unwrap().executions.values().sum()
    }

    pub(crate) fn cancelled_requests(&self) -> usize {
        self.state.lock().unwrap().cancelled_requests
    }

    /// Returns the time of each executed completion and the tokens that it used.
    pub(crate) fn usage_history(&self) -> Vec<(Instant, u64)> {
        self.state.lock().unwrap().usage_history.clone()
    }

    fn execute(state: &mut State, request: &DispatchRequest) -> StoredResponse {
        *state.executions.entry(request.body.clone()).or_default() += 1;
        let response = build_response(request);
        if let Ok(value) = serde_json::from_slice::<Value>(&request.body)
            && value["max_tokens"].is_u64()
        {
            state
                .usage_history
                .push((Instant::now(), used_tokens(&value)));
        }
        state
            .finished_responses
            .insert(request.request_id, response.clone());
        response
    }

    fn start(&self, port: u16, request: &DispatchRequest) -> Result<Vec<Step>, AgentError> {
        let mut state = self.state.lock().unwrap();
        let default_plan = state.default_plan.unwrap_or(Plan::Respond);
        let plan = state.plans.pop_front().unwrap_or(default_plan);
        let refusal = |kind| AgentError::Refused {
            kind,
            run_state: RunState::NotRun,
            detail: String::new(),
        };
        state.is_outcome_unreachable |= plan == Plan::Unreachable;
        if matches!(plan, Plan::NotConnected | Plan::Unreachable) {
            return Err(AgentError::NotSent("refused".to_owned()));
        }
        state.encoded_requests.extend(encode_message(request));
        match plan {
            _ if state.refused_ids.contains(&request.request_id) => {
                return Err(refusal(ErrorKind::FencingStale));
            }
            Plan::Full => return Err(refusal(ErrorKind::QueueFull)),
            Plan::Draining => return Err(refusal(ErrorKind::Draining)),
            Plan::LostBeforeStart => return Err(AgentError::Interrupted("reset".to_owned())),
            Plan::Hanging => return Ok(vec![Step::Hang]),
            _ => {}
        }
        let response = Self::execute(&mut state, request);
        state.is_outcome_unreachable |= plan == Plan::CrashedAfterRun;
        let load = state.load_reports.get(&port).cloned().unwrap_or_default();
        Ok(build_steps(plan, request, &response, load))
    }
}

fn used_tokens(body: &Value) -> u64 {
    prompt_tokens(body) + body["max_tokens"].as_u64().unwrap() / 2
}

fn prompt_tokens(body: &Value) -> u64 {
    let text = body["prompt"].as_str().unwrap_or_default();
    text.len().div_ceil(4) as u64
}

fn build_response(request: &DispatchRequest) -> StoredResponse {
    let value: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let usage = json!({
        "prompt_tokens": prompt_tokens(&value),
        "completion_tokens": value["max_tokens"].as_u64().unwrap_or(0) / 2,
    });
    let body = if value["stream"] == json!(true) {
        format!(
            "data: {}\n\ndata: {}\n\ndata: {}\n\ndata: [DONE]\n\n",
            json!({"choices": [{"text": "one"}], "usage": null}),
            json!({"choices": [{"text": "two"}]}),
            json!({"choices": [], "usage": usage}),
        )
    } else {
        json!({"choices": [{"text": "one two"}], "usage": usage}).to_string()
    };
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: body.into_bytes(),
    }
}

fn build_steps(
    plan: Plan,
    request: &DispatchRequest,
    response: &StoredResponse,
    load: LoadReport,
) -> Vec<Step> {
    let body = &response.body;
    let middle = body.len() / 2;
    let byte_count = body.len() as u64 + u64::from(plan == Plan::WrongByteCount);
    let mut payloads = vec![
        FramePayload::Head {
            status: response.status,
            headers: response.headers.clone(),
        },
        FramePayload::Data(body[..middle].to_vec()),
        FramePayload::Data(body[middle..].to_vec()),
        FramePayload::End { byte_count, load },
    ];
    let mut wait = Duration::ZERO;
    if let Plan::Slow(time) = plan {
        wait = time;
    }
    match plan {
        Plan::MissingEnd => payloads.truncate(3),
        Plan::FalseRefusal => {
            payloads.truncate(1);
            payloads.push(FramePayload::Failed {
                kind: ErrorKind::Unavailable,
                run_state: RunState::NotRun,
                detail: String::new(),
            });
        }
        Plan::LostAfterRun | Plan::CrashedAfterRun | Plan::SilentAfterHead => payloads.truncate(1),
        _ => {}
    }
    let mut steps = Vec::new();
    let mut sequence = 0;
    let mut push = |steps: &mut Vec<Step>, payload, is_other_request| {
        let id = RequestId(request.request_id.0 ^ u128::from(is_other_request));
        let frame = StreamFrame {
            request_id: id,
            sequence,
            payload,
        };
        sequence += 1;
        steps.push(Step::Bytes(encode_frame(&frame)));
    };
    let data_step = steps.len() + 1;
    for (index, payload) in payloads.into_iter().enumerate() {
        if index == 1 {
            for _ in 0..wait.as_millis() / 500 {
                steps.push(Step::Wait(Duration::from_millis(500)));
                push(&mut steps, FramePayload::Heartbeat, false);
            }
        }
        push(
            &mut steps,
            payload,
            plan == Plan::OtherRequest && index == 2,
        );
        if plan == Plan::RepeatedSequence && index == 1 {
            let repeated = steps.last().cloned().unwrap();
            steps.push(repeated);
        }
    }
    if plan == Plan::Reordered {
        steps.swap(data_step, data_step + 1);
    }
    match plan {
        Plan::SilentAfterHead => steps.push(Step::Hang),
        Plan::LostAfterRun | Plan::CrashedAfterRun => steps.push(Step::Reset),
        _ => {}
    }
    steps
}

#[derive(Clone)]
enum Step {
    Bytes(Bytes),
    Wait(Duration),
    Hang,
    Reset,
}

struct FakeResponseChunks {
    steps: VecDeque<Step>,
    wait_deadline: Option<Instant>,
    state: std::sync::Arc<Mutex<State>>,
}

impl ResponseChunks for FakeResponseChunks {
    fn next_chunk(&mut self) -> BoxFuture<'_, Result<Option<Bytes>, AgentError>> {
        Box::pin(async move {
            loop {
                match self.steps.front().cloned() {
                    Some(Step::Bytes(bytes)) => {
                        self.steps.pop_front();
                        return Ok(Some(bytes));
                    }
                    Some(Step::Wait(time)) => {
                        let until = *self.wait_deadline.get_or_insert(Instant::now() + time);
                        tokio::time::sleep_until(until).await;
                        self.wait_deadline = None;
                        self.steps.pop_front();
                    }
                    Some(Step::Hang) => std::future::pending().await,
                    Some(Step::Reset) => return Err(AgentError::Interrupted("reset".to_owned())),
                    None => return Ok(None),
                }
            }
        })
    }
}

impl Drop for FakeResponseChunks {
    fn drop(&mut self) {
        if !self.steps.is_empty() {
            self.state.lock().unwrap().cancelled_requests += 1;
        }
    }
}

impl AgentLink for FakeAgents {
    fn dispatch(
        &self,
        address: SocketAddr,
        request: &DispatchRequest,
    ) -> BoxFuture<'_, Result<Box<dyn ResponseChunks>, AgentError>> {
        let request = request.clone();
        Box::pin(async move {
            let steps = self.start(address.port(), &request);
            let state = std::sync::Arc::clone(&self.state);
            state.lock().unwrap().requests.push((address, request));
            Ok(Box::new(FakeResponseChunks {
                steps: steps?.into(),
                wait_deadline: None,
                state,
            }) as Box<dyn ResponseChunks>)
        })
    }

    fn query_outcome(
        &self,
        _address: SocketAddr,
        request: OutcomeRequest,
    ) -> BoxFuture<'_, Result<Outcome, AgentError>> {
        Box::pin(async move {
            let mut state = self.state.lock().unwrap();
            if state.is_outcome_unreachable {
                return Err(AgentError::NotSent("refused".to_owned()));
            }
            if let Some(response) = state.finished_responses.get(&request.request_id) {
                return Ok(Outcome::Finished(response.clone()));
            }
            state.refused_ids.insert(request.request_id);
            Ok(Outcome::NotStarted)
        })
    }
}
