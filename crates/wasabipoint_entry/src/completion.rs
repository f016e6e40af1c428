//! Parses and encodes completion requests in the `OpenAI` format.

use serde_json::{Map, Value, json};
use wasabipoint_kernel::{ErrorKind, Refusal};

/// Bytes of prompt text per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;

/// Format of a completion request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    Chat,
    Text,
}

/// A parsed completion request.
pub(crate) struct CompletionRequest {
    fields: Map<String, Value>,
    pub(crate) model: String,
    pub(crate) is_streamed: bool,
    /// Whether the caller requested token usage in the stream.
    pub(crate) wants_usage: bool,
    /// Prompt bytes that are hashed for prefix matching.
    pub(crate) prompt: Vec<u8>,
    /// Length of the prompt text in bytes, without roles and separators.
    text_bytes: usize,
    max_tokens: Option<u64>,
}

impl CompletionRequest {
    pub(crate) fn parse(kind: CompletionKind, body: &[u8]) -> Result<Self, Refusal> {
        let Ok(Value::Object(fields)) = serde_json::from_slice::<Value>(body) else {
            return Err(malformed_request("expected a JSON object"));
        };
        let model = fields
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| malformed_request("expected a text in model"))?
            .to_owned();
        let is_streamed = read_flag(&fields, "stream")?;
        if fields.get("n").is_some_and(|n| *n != json!(1)) {
            return Err(malformed_request("expected 1 in n"));
        }
        if fields.get("best_of").is_some_and(|n| *n != json!(1)) {
            return Err(malformed_request("expected 1 in best_of"));
        }
        let max_tokens =
            read_count(&fields, "max_tokens")?.max(read_count(&fields, "max_completion_tokens")?);
        let (prompt, text_bytes) = match kind {
            CompletionKind::Chat => read_messages(&fields)?,
            CompletionKind::Text => read_prompt(&fields)?,
        };
        let wants_usage = fields
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            .is_some_and(|flag| *flag == json!(true));
        Ok(Self {
            fields,
            model,
            is_streamed,
            wants_usage,
            prompt,
            text_bytes,
            max_tokens,
        })
    }

    /// Estimates the number of prompt tokens.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.text_bytes.div_ceil(BYTES_PER_TOKEN) as u64
    }

    /// Returns the requested completion length, limited to that of the model.
    pub(crate) fn answer_tokens(&self, model_limit: u64) -> u64 {
        self.max_tokens.unwrap_or(model_limit).min(model_limit)
    }

    /// Encodes the request for the engine, with resolved names and the reserved completion length.
    pub(crate) fn encode(
        mut self,
        model: &str,
        adapter: Option<&str>,
        answer_tokens: u64,
    ) -> Vec<u8> {
        self.fields.insert("model".to_owned(), json!(model));
        self.fields.remove("adapter");
        if let Some(adapter) = adapter {
            self.fields.insert("adapter".to_owned(), json!(adapter));
        }
        self.fields.remove("max_completion_tokens");
        self.fields
            .insert("max_tokens".to_owned(), json!(answer_tokens));
        if self.is_streamed {
            // Without reported usage, the entire reservation would count as spent.
            let options = json!({"include_usage": true});
            self.fields.insert("stream_options".to_owned(), options);
        }
        serde_json::to_vec(&self.fields).expect("a parsed JSON object encodes")
    }
}

/// Reads the prompt and completion tokens from the `usage` of a response.
pub(crate) fn read_usage(response: &Value) -> Option<u64> {
    let usage = response.get("usage")?;
    let count = |key: &str| usage.get(key).and_then(Value::as_u64);
    Some(count("prompt_tokens")? + count("completion_tokens").unwrap_or(0))
}

fn read_flag(fields: &Map<String, Value>, key: &str) -> Result<bool, Refusal> {
    match fields.get(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(malformed_request(&format!(
            "expected true or false in {key}"
        ))),
    }
}

fn read_count(fields: &Map<String, Value>, key: &str) -> Result<Option<u64>, Refusal> {
    match fields.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(count) if count > 0 => Ok(Some(count)),
            _ => Err(malformed_request(&format!(
                "expected a positive whole number in {key}"
            ))),
        },
    }
}

/// Returns the prompt bytes to hash, and the length of the message texts.
fn read_messages(fields: &Map<String, Value>) -> Result<(Vec<u8>, usize), Refusal> {
    let messages = fields
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| malformed_request("expected a list in messages"))?;
    let mut prompt = Vec::new();
    let mut text_bytes = 0;
    for message in messages {
        let role = message
            .get("role")
            .and_then(Value::as_str)
            .ok_or_else(|| malformed_request("expected a text in the role of each message"))?;
        let content = match message.get("content") {
            Some(Value::String(text)) => text.clone(),
            None | Some(Value::Null) => String::new(),
            // Structured content counts with all bytes of its JSON encoding.
            Some(other) => other.to_string(),
        };
        text_bytes += content.len();
        for part in [role.as_bytes(), &[0], content.as_bytes(), &[0]] {
            prompt.extend_from_slice(part);
        }
    }
    Ok((prompt, text_bytes))
}

fn read_prompt(fields: &Map<String, Value>) -> Result<(Vec<u8>, usize), Refusal> {
    let prompt = fields
        .get("prompt")
        .and_then(Value::as_str)
        .ok_or_else(|| malformed_request("expected a text in prompt"))?;
    Ok((prompt.as_bytes().to_vec(), prompt.len()))
}

fn malformed_request(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::MalformedRequest, detail)
}
