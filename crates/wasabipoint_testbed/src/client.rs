//! HTTP client for the public API and the operator API.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use wasabipoint_http::{ClientError, HttpClient};

/// Timeout of one request, far above every deadline that the rules set.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);

const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// A fully read response.
#[derive(Debug, Clone)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the `retry-after` header.
    pub retry_after_s: Option<u64>,
    /// Value of the `x-request-id` header.
    pub request_id: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl ApiResponse {
    /// Parses the body as JSON. Returns `Null` if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the error kind if the body describes an error.
    pub fn error_kind(&self) -> Option<String> {
        self.json()["error"]["kind"].as_str().map(str::to_owned)
    }

    /// Tells whether an error response states that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.json()["error"]["run"] == "not run"
    }

    /// Returns the events of a server-sent event stream, or `None` if it does not end with
    /// `[DONE]`.
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

/// A client of one entry process or control member.
#[derive(Debug, Clone)]
pub struct ApiClient {
    http_client: HttpClient,
    base_url: String,
    key: Option<String>,
}

impl ApiClient {
    /// Creates a client that sends no key.
    pub fn new(address: &str) -> Self {
        Self {
            http_client: HttpClient::new(Duration::from_secs(5)),
            base_url: format!("http://{address}"),
            key: None,
        }
    }

    /// Sets the key that is sent as a bearer token.
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
    ) -> Result<ApiResponse, ClientError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url));
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
            .http_client
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
        Ok(ApiResponse {
            status: response.status(),
            retry_after_s: header("retry-after").and_then(|text| text.parse().ok()),
            request_id: header("x-request-id"),
            body: response.body().clone(),
        })
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<ApiResponse, ClientError> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a JSON body by POST.
    pub async fn post(&self, path: &str, body: &Value) -> Result<ApiResponse, ClientError> {
        let headers = [("content-type", "application/json")];
        self.send(Method::POST, path, &headers, body.to_string())
            .await
    }

    /// Requests a chat completion.
    pub async fn chat(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
        is_streamed: bool,
    ) -> Result<ApiResponse, ClientError> {
        let body = json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": is_streamed,
        });
        self.post("/v1/chat/completions", &body).await
    }
}
