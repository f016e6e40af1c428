//! Completions: batching, token streams and response faults.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response};
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};

use super::Engine;
use super::cache::{chat_text, completion_text, prefix_hashes};
use crate::faults::DrawnFaults;
use crate::server::{Aborted, FakeResponse, json, lock, streamed_body, truncated};

/// Tokens of an answer when the request names no number.
const DEFAULT_TOKENS: u64 = 16;

struct Completion {
    id: String,
    is_chat: bool,
    is_streamed: bool,
    model: String,
    prompt: String,
    hashes: Vec<u64>,
    max_tokens: u64,
    priority: u8,
    faults: DrawnFaults,
    // Id and prompt of the request whose response is sent from some chunk on.
    other: (String, String),
}

/// Removes the request from the table of running ones.
struct Running {
    engine: Arc<Engine>,
    id: String,
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.engine.running).remove(&self.id);
    }
}

pub(super) async fn complete(
    engine: Arc<Engine>,
    headers: &HeaderMap,
    body: &[u8],
) -> FakeResponse {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = text("x-request-id").unwrap_or("none").to_owned();
    let priority = text("x-priority")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let Ok(request) = serde_json::from_slice::<Value>(body) else {
        return Ok(json(400, &json!({"id": id, "error": "malformed"})));
    };
    let model = request["model"].as_str().unwrap_or_default().to_owned();
    if !lock(&engine.memory).is_loaded(&model) {
        return Ok(json(404, &json!({"id": id, "error": "model_not_loaded"})));
    }
    if let Some(adapter) = request["adapter"].as_str()
        && !lock(&engine.memory).has_adapter(&model, adapter)
    {
        return Ok(json(404, &json!({"id": id, "error": "adapter_not_loaded"})));
    }
    let (prompt, hashed) = read_prompt(&model, &request);
    let other = std::mem::replace(&mut *lock(&engine.previous), (id.clone(), prompt.clone()));
    let faults = lock(&engine.faults).response.draw();
    let completion = Completion {
        id,
        is_chat: request["messages"].is_array(),
        is_streamed: request["stream"].as_bool().unwrap_or(false),
        hashes: prefix_hashes(&hashed),
        max_tokens: request["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS),
        model,
        prompt,
        priority,
        faults,
        other,
    };
    let cancelled = Arc::new(Notify::new());
    lock(&engine.running).insert(completion.id.clone(), Arc::clone(&cancelled));
    let running = Running {
        engine: Arc::clone(&engine),
        id: completion.id.clone(),
    };
    if completion.is_streamed {
        let (sender, body) = streamed_body();
        tokio::spawn(async move {
            let _running = running;
            let closed = sender.clone();
            tokio::select! {
                () = stream(&engine, &completion, &sender) => {}
                () = cancelled.notified() => {
                    let _ = closed.send(Err(Aborted)).await;
                }
                () = closed.closed() => {}
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
        response = answer_whole(&engine, &completion) => response,
        () = cancelled.notified() => Err(Aborted),
    }
}

fn read_prompt(model: &str, request: &Value) -> (String, Vec<u8>) {
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

/// The tokens of an answer are a function of the prompt, so that callers can check them.
fn token(prompt: &str, index: u64) -> String {
    let digest = blake3::hash(prompt.as_bytes()).to_hex();
    format!("{}-{index} ", &digest[..8])
}

/// Returns the text that the engine answers to a prompt.
pub fn answer_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

async fn pause(milliseconds: u64) {
    if milliseconds > 0 {
        tokio::time::sleep(Duration::from_millis(milliseconds)).await;
    }
}

async fn prefill(engine: &Engine, completion: &Completion) {
    let hits = {
        let mut faults = lock(&engine.faults);
        lock(&engine.cache).touch(&completion.hashes, &mut faults.lost_cache_events)
    };
    let missing = (completion.hashes.len() - hits) as u64;
    pause(missing * engine.options.prefill_block_ms).await;
    pause(completion.faults.late_ms).await;
    if completion.faults.is_silent {
        std::future::pending::<()>().await;
    }
}

fn finish(engine: &Engine, completion: &Completion) {
    *lock(&engine.completed)
        .entry(completion.id.clone())
        .or_default() += 1;
}

async fn stream(
    engine: &Arc<Engine>,
    completion: &Completion,
    sender: &mpsc::Sender<Result<Bytes, Aborted>>,
) {
    let _slot = engine.slots.acquire(completion.priority).await;
    prefill(engine, completion).await;
    for index in 0..completion.max_tokens {
        pause(engine.options.token_ms + completion.faults.slow_ms).await;
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
            .is_some_and(|own| index >= u64::from(own));
        let (id, prompt) = if is_crossed {
            (&completion.other.0, &completion.other.1)
        } else {
            (&completion.id, &completion.prompt)
        };
        let text = token(prompt, index);
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
    finish(engine, completion);
}

fn usage(completion: &Completion) -> Value {
    let prompt_tokens = completion.prompt.len().div_ceil(4);
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion.max_tokens,
        "total_tokens": prompt_tokens as u64 + completion.max_tokens,
    })
}

async fn answer_whole(engine: &Arc<Engine>, completion: &Completion) -> FakeResponse {
    let _slot = engine.slots.acquire(completion.priority).await;
    prefill(engine, completion).await;
    let step_ms = engine.options.token_ms + completion.faults.slow_ms;
    pause(step_ms * completion.max_tokens).await;
    let (id, prompt) = if completion.faults.crossed_after_chunks.is_some() {
        (&completion.other.0, &completion.other.1)
    } else {
        (&completion.id, &completion.prompt)
    };
    let text = answer_text(prompt, completion.max_tokens);
    let choice = if completion.is_chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}})
    } else {
        json!({"index": 0, "text": text})
    };
    let answer = json!({
        "id": id, "model": completion.model, "choices": [choice], "usage": usage(completion),
    });
    finish(engine, completion);
    if completion.faults.is_truncated || completion.faults.is_unfinished {
        return Ok(truncated(&answer.to_string()));
    }
    Ok(json(200, &answer))
}
