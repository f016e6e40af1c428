//! Completions of the fake engine: batching, token streams and response faults.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response};
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};

use super::Engine;
use super::cache::{chat_text, completion_text, prefix_hashes};
use crate::faults::ActiveFaults;
use crate::server::{
    Aborted, FakeResponse, json_response, lock, streamed_body, truncated_response,
};

/// Number of generated tokens when the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// A parsed completion request with the faults that apply to it.
struct Completion {
    id: String,
    is_chat: bool,
    is_streamed: bool,
    model: String,
    prompt: String,
    hashes: Vec<u64>,
    max_tokens: u64,
    priority: u8,
    faults: ActiveFaults,
    /// Id and prompt of the previous request, which a crossed response answers.
    previous_request: (String, String),
}

/// Removes the request from the table of running ones on drop.
struct RunningGuard {
    engine: Arc<Engine>,
    id: String,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.engine.running).remove(&self.id);
    }
}

/// Answers a completion or chat request.
pub(super) async fn complete(
    engine: Arc<Engine>,
    headers: &HeaderMap,
    body: &[u8],
) -> FakeResponse {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = header("x-request-id").unwrap_or("none").to_owned();
    let priority = header("x-priority")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let Ok(request) = serde_json::from_slice::<Value>(body) else {
        return Ok(json_response(400, &json!({"id": id, "error": "malformed"})));
    };
    let model = request["model"].as_str().unwrap_or_default().to_owned();
    if !lock(&engine.memory).is_loaded(&model) {
        return Ok(json_response(
            404,
            &json!({"id": id, "error": "model_not_loaded"}),
        ));
    }
    if let Some(adapter) = request["adapter"].as_str()
        && !lock(&engine.memory).has_adapter(&model, adapter)
    {
        return Ok(json_response(
            404,
            &json!({"id": id, "error": "adapter_not_loaded"}),
        ));
    }
    let (prompt, hashed_text) = parse_prompt(&model, &request);
    let previous_request = std::mem::replace(
        &mut *lock(&engine.previous_request),
        (id.clone(), prompt.clone()),
    );
    let faults = lock(&engine.faults).response.take_next();
    let completion = Completion {
        id,
        is_chat: request["messages"].is_array(),
        is_streamed: request["stream"].as_bool().unwrap_or(false),
        hashes: prefix_hashes(&hashed_text),
        max_tokens: request["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS),
        model,
        prompt,
        priority,
        faults,
        previous_request,
    };
    let cancelled = Arc::new(Notify::new());
    lock(&engine.running).insert(completion.id.clone(), Arc::clone(&cancelled));
    let guard = RunningGuard {
        engine: Arc::clone(&engine),
        id: completion.id.clone(),
    };
    if completion.is_streamed {
        let (sender, body) = streamed_body();
        tokio::spawn(async move {
            let _guard = guard;
            let abort_sender = sender.clone();
            tokio::select! {
                () = stream_completion(&engine, &completion, &sender) => {}
                () = cancelled.notified() => {
                    let _ = abort_sender.send(Err(Aborted)).await;
                }
                () = abort_sender.closed() => {}
            }
        });
        let mut response = Response::new(body);
        response.headers_mut().insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("text/event-stream"),
        );
        return Ok(response);
    }
    tokio::select! {
        response = complete_unstreamed(&engine, &completion) => response,
        () = cancelled.notified() => Err(Aborted),
    }
}

/// Returns the prompt that determines the generated text, and the input of `prefix_hashes`.
fn parse_prompt(model: &str, request: &Value) -> (String, Vec<u8>) {
    if let Some(messages) = request["messages"].as_array() {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let messages: Vec<_> = messages
            .iter()
            .map(|message| (text(&message["role"]), text(&message["content"])))
            .collect();
        let prompt = messages.last().map(|(_, content)| content.clone());
        return (prompt.unwrap_or_default(), chat_text(model, &messages));
    }
    let prompt = request["prompt"].as_str().unwrap_or_default();
    (prompt.to_owned(), completion_text(model, prompt))
}

/// Returns one token of the generated text. It depends only on prompt and index, so that tests can
/// check it.
fn token_text(prompt: &str, index: u64) -> String {
    let digest = blake3::hash(prompt.as_bytes()).to_hex();
    format!("{}-{index} ", &digest[..8])
}

/// Returns the text that the engine generates for a prompt.
pub fn generated_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Sleeps for a number of milliseconds; does not yield for zero.
async fn sleep_ms(milliseconds: u64) {
    if milliseconds > 0 {
        tokio::time::sleep(Duration::from_millis(milliseconds)).await;
    }
}

/// Simulates the prefill of uncached blocks and applies the `late` and `silent` faults.
async fn prefill(engine: &Engine, completion: &Completion) {
    let hits = {
        let mut faults = lock(&engine.faults);
        lock(&engine.cache).use_blocks(&completion.hashes, &mut faults.lost_cache_events)
    };
    let uncached = (completion.hashes.len() - hits) as u64;
    sleep_ms(uncached * engine.options.prefill_block_ms).await;
    sleep_ms(completion.faults.late_ms).await;
    if completion.faults.is_silent {
        std::future::pending::<()>().await;
    }
}

/// Counts a completion that ran to its end, by request id.
fn record_completed(engine: &Engine, completion: &Completion) {
    *lock(&engine.completed)
        .entry(completion.id.clone())
        .or_default() += 1;
}

async fn stream_completion(
    engine: &Arc<Engine>,
    completion: &Completion,
    sender: &mpsc::Sender<Result<Bytes, Aborted>>,
) {
    let _slot = engine.slots.acquire(completion.priority).await;
    prefill(engine, completion).await;
    for index in 0..completion.max_tokens {
        sleep_ms(engine.options.token_ms + completion.faults.slow_ms).await;
        if completion.faults.is_truncated && index * 2 >= completion.max_tokens {
            let _ = sender.send(Err(Aborted)).await;
            return;
        }
        if completion.faults.is_unfinished && index * 2 >= completion.max_tokens {
            return;
        }
        let is_crossed = completion
            .faults
            .crossed_after_chunks
            .is_some_and(|chunks| index >= u64::from(chunks));
        let (id, prompt) = if is_crossed {
            (
                &completion.previous_request.0,
                &completion.previous_request.1,
            )
        } else {
            (&completion.id, &completion.prompt)
        };
        let text = token_text(prompt, index);
        let choice = if completion.is_chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        let chunk = json!({"id": id, "model": completion.model, "choices": [choice]});
        if sender
            .send(Ok(Bytes::from(format!("data: {chunk}\n\n"))))
            .await
            .is_err()
        {
            return;
        }
    }
    let usage = json!({"id": completion.id, "choices": [], "usage": usage(completion)});
    let _ = sender
        .send(Ok(Bytes::from(format!(
            "data: {usage}\n\ndata: [DONE]\n\n"
        ))))
        .await;
    record_completed(engine, completion);
}

fn usage(completion: &Completion) -> Value {
    let prompt_tokens = completion.prompt.len().div_ceil(4);
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion.max_tokens,
        "total_tokens": prompt_tokens as u64 + completion.max_tokens,
    })
}

async fn complete_unstreamed(engine: &Arc<Engine>, completion: &Completion) -> FakeResponse {
    let _slot = engine.slots.acquire(completion.priority).await;
    prefill(engine, completion).await;
    let token_ms = engine.options.token_ms + completion.faults.slow_ms;
    sleep_ms(token_ms * completion.max_tokens).await;
    let (id, prompt) = if completion.faults.crossed_after_chunks.is_some() {
        (
            &completion.previous_request.0,
            &completion.previous_request.1,
        )
    } else {
        (&completion.id, &completion.prompt)
    };
    let text = generated_text(prompt, completion.max_tokens);
    let choice = if completion.is_chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}})
    } else {
        json!({"index": 0, "text": text})
    };
    let answer = json!({
        "id": id, "model": completion.model, "choices": [choice], "usage": usage(completion),
    });
    record_completed(engine, completion);
    if completion.faults.is_truncated || completion.faults.is_unfinished {
        return Ok(truncated_response(&answer.to_string()));
    }
    Ok(json_response(200, &answer))
}
