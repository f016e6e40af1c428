//! Requests of callers and operators.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use wasabipoint_http::{ClientError, HttpClient};

/// Bound on one request of a test; far above every deadline of the rules.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);

const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// A response that was read to its end.
#[derive(Debug, Clone)]
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the `retry-after` header.
    pub retry_after_s: Option<u64>,
    /// Value of the `x-request-id` header.
    pub request_id: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl ReceivedResponse {
    /// Parses the body as JSON; `Null` when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the kind of a refusal.
    pub fn error_kind(&self) -> Option<String> {
        self.json()["error"]["kind"].as_str().map(str::to_owned)
    }

    /// Tells whether a refusal states that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.json()["error"]["run"] == "not run"
    }

    /// Returns the chunks of a server-sent event stream; `None` when it does not end in `[DONE]`.
    pub fn events(&self) -> Option<Vec<Value>> {
        let text = std::str::from_utf8(&self.body).ok()?;
        let mut events: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .collect();
        if events.pop()? != "[DONE]" {
            return None;
        }
        events
            .into_iter()
            .map(|event| serde_json::from_str(event).ok())
            .collect()
    }
}

/// A caller of one entry process.
#[derive(Debug, Clone)]
pub struct Caller {
    client: HttpClient,
    base: String,
    key: Option<String>,
}

impl Caller {
    /// Creates a caller without a key.
    pub fn new(address: &str) -> Self {
        Self {
            client: HttpClient::new(Duration::from_secs(5)),
            base: format!("http://{address}"),
            key: None,
        }
    }

    /// Sets the key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sends a request and reads the whole response.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<ReceivedResponse, ClientError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        if let Some(key) = &self.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(body.into())
            .map_err(|error| ClientError::NotConnected(error.to_string()))?;
        let response = self
            .client
            .fetch(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT)
            .await?;
        let header = |name: &str| {
            response
                .headers()
                .get(name)?
                .to_str()
                .ok()
                .map(str::to_owned)
        };
        Ok(ReceivedResponse {
            status: response.status(),
            retry_after_s: header("retry-after").and_then(|text| text.parse().ok()),
            request_id: header("x-request-id"),
            body: response.body().clone(),
        })
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<ReceivedResponse, ClientError> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a JSON body by POST.
    pub async fn post(&self, path: &str, body: &Value) -> Result<ReceivedResponse, ClientError> {
        let headers = [("content-type", "application/json")];
        self.send(Method::POST, path, &headers, body.to_string())
            .await
    }

    /// Asks for a chat completion.
    pub async fn chat(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
        is_streamed: bool,
    ) -> Result<ReceivedResponse, ClientError> {
        let body = json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": is_streamed,
        });
        self.post("/v1/chat/completions", &body).await
    }
}
