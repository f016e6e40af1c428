//! The demo: starts a fleet of the Delta example, sends requests and checks the responses.

use std::time::Duration;

use bpaf::{OptionParser, Parser};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::client::{ApiClient, ApiResponse};
use crate::config::FleetConfig;
use crate::fleet::{CustomerKey, Fleet, FleetError};

/// Number of engines in the Delta example.
const ENGINES: usize = 10;
/// Number of booking endpoints in the Delta example.
const BOOKING_ENDPOINTS: usize = 4;

/// Concurrent requests of the customer that exceeds its rate. Together they reserve several times
/// its burst.
const BURST_REQUESTS: usize = 24;

/// Time within which a withdrawn key must be refused.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(10);

/// An error that ends the demo.
#[derive(Debug)]
pub enum DemoError {
    /// The fleet could not be started or operated.
    Fleet(FleetError),
    /// A request received no response.
    NoResponse(String),
    /// A response differs from the expected one.
    UnexpectedResponse(String),
}

impl From<FleetError> for DemoError {
    fn from(error: FleetError) -> Self {
        Self::Fleet(error)
    }
}

impl From<wasabipoint_http::ClientError> for DemoError {
    fn from(error: wasabipoint_http::ClientError) -> Self {
        Self::NoResponse(error.to_string())
    }
}

impl std::fmt::Display for DemoError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Fleet(error) => write!(f, "{error}"),
            Self::NoResponse(message) => write!(f, "no response: {message}"),
            Self::UnexpectedResponse(message) => write!(f, "unexpected response: {message}"),
        }
    }
}

impl std::error::Error for DemoError {}

/// Options of the demo.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Whether the fleet keeps running after the demo until a signal arrives.
    pub keep_running: bool,
}

/// How the demo ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemoOutcome {
    /// All steps succeeded.
    Complete,
    /// `stop` completed before the last step.
    Interrupted,
}

/// Returns the command line of the demo.
pub fn demo_options() -> OptionParser<DemoOptions> {
    let keep_running = bpaf::long("keep")
        .help("Keep the fleet running until Ctrl-C, and print a key and a sample request")
        .switch();
    bpaf::construct!(DemoOptions { keep_running })
        .to_options()
        .descr(
            "Starts a fleet of the Delta example on loopback, sends requests and checks responses.",
        )
}

/// Runs the demo and prints each step. If `stop` completes first, the demo ends early. With
/// `keep_running`, the fleet stays up after the last step until `stop` completes. All started
/// processes have exited when this returns.
///
/// # Errors
///
/// Fails when the fleet cannot be operated or a response differs from the expected one.
pub async fn run_demo(
    options: &DemoOptions,
    stop: impl Future<Output = ()>,
) -> Result<DemoOutcome, DemoError> {
    tokio::pin!(stop);
    let config = FleetConfig::delta().with_endpoints(ENGINES, BOOKING_ENDPOINTS);
    let started = Instant::now();
    let fleet = tokio::select! {
        fleet = Fleet::start(config) => fleet?,
        () = &mut stop => return Ok(DemoOutcome::Interrupted),
    };
    let result = tokio::select! {
        result = run_steps(&fleet, started) => Some(result),
        () = &mut stop => None,
    };
    let outcome = match result {
        None => Ok(DemoOutcome::Interrupted),
        Some(Err(error)) => Err(error),
        Some(Ok(())) if options.keep_running => match print_sample_request(&fleet).await {
            Ok(()) => {
                stop.await;
                Ok(DemoOutcome::Complete)
            }
            Err(error) => Err(error),
        },
        Some(Ok(())) => Ok(DemoOutcome::Complete),
    };
    fleet.stop().await?;
    println!("stopped all processes");
    outcome
}

/// Prints a sample request with a valid key.
async fn print_sample_request(fleet: &Fleet) -> Result<(), DemoError> {
    let key = fleet.add_key("bucket-traders").await?;
    fleet.wait_for_key(0, &key.key).await?;
    let body = json!({
        "model": "rounds-small",
        "max_tokens": 16,
        "messages": [{"role": "user", "content": "draft a round note"}],
    });
    println!("the fleet stays up until Ctrl-C; to try it:");
    println!(
        "curl -H 'authorization: Bearer {}' -H 'content-type: application/json' \\\n  -d '{body}' http://{}/v1/chat/completions",
        key.key,
        fleet.entries[0].http_address()
    );
    Ok(())
}

async fn run_steps(fleet: &Fleet, started: Instant) -> Result<(), DemoError> {
    println!(
        "started {} in {:.1} s",
        fleet.describe(),
        started.elapsed().as_secs_f32()
    );
    println!("settings, data and logs: {}", fleet.folder().display());
    let key = fleet.add_key("bucket-traders").await?;
    fleet.wait_for_key(0, &key.key).await?;
    println!("applied the Delta inventory and rules, added a key");
    show_completion(&fleet.client(0).with_key(&key.key)).await?;
    show_booking(&fleet.client(1).with_key(&key.key)).await?;
    show_rate_limit(fleet).await?;
    show_withdrawal(fleet, &key).await?;
    show_placement(fleet).await
}

async fn show_completion(client: &ApiClient) -> Result<(), DemoError> {
    let prompt = "draft the round note for the hotels on the corniche";
    let started = Instant::now();
    let response = client.chat("rounds-small", prompt, 24, true).await?;
    expect_status(&response, StatusCode::OK, "streamed completion")?;
    let events = response.events().ok_or_else(|| {
        DemoError::UnexpectedResponse("the stream does not end with [DONE]".to_owned())
    })?;
    let tokens: Vec<&str> = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect();
    if tokens.len() < 24 {
        return Err(DemoError::UnexpectedResponse(format!(
            "{} tokens of 24",
            tokens.len()
        )));
    }
    println!(
        "streamed completion on a cold model: {} events in {:.1} s: {:.60}",
        events.len(),
        started.elapsed().as_secs_f32(),
        tokens.concat()
    );
    Ok(())
}

async fn show_booking(client: &ApiClient) -> Result<(), DemoError> {
    let headers = [
        ("content-type", "application/json"),
        ("idempotency-key", "pickup-17"),
    ];
    let body = json!({"pickup": 17, "buckets": 4}).to_string();
    let path = "/services/booking/pickups";
    let first = client
        .send(Method::POST, path, &headers, body.clone())
        .await?;
    expect_status(&first, StatusCode::OK, "booking")?;
    let second = client.send(Method::POST, path, &headers, body).await?;
    expect_status(&second, StatusCode::OK, "resent booking")?;
    if first.body != second.body {
        return Err(DemoError::UnexpectedResponse(
            "the resent booking got a different response".to_owned(),
        ));
    }
    println!(
        "booking sent twice with one idempotency key, one response: {}",
        body_text(&first)
    );
    Ok(())
}

async fn show_rate_limit(fleet: &Fleet) -> Result<(), DemoError> {
    let key = fleet.add_key("door-vendors").await?;
    fleet.wait_for_key(0, &key.key).await?;
    let client = fleet.client(0).with_key(&key.key);
    let models = client.get("/v1/models").await?.json();
    let model = models["data"][0]["id"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let tasks: Vec<_> = (0..BURST_REQUESTS)
        .map(|_| {
            let (client, model) = (client.clone(), model.clone());
            tokio::spawn(async move { client.chat(&model, "price of roses", 512, false).await })
        })
        .collect();
    let mut served = 0;
    let mut refusal = None;
    for task in tasks {
        let response = task
            .await
            .map_err(|error| DemoError::NoResponse(error.to_string()))??;
        match response.error_kind().as_deref() {
            Some("over_rate") => refusal = Some(response),
            None if response.status == StatusCode::OK => served += 1,
            _ => {
                return Err(DemoError::UnexpectedResponse(format!(
                    "burst: {} {}",
                    response.status,
                    body_text(&response)
                )));
            }
        }
    }
    let refusal = refusal.ok_or_else(|| {
        DemoError::UnexpectedResponse("no request over the rate was refused".to_owned())
    })?;
    expect_status(&refusal, StatusCode::TOO_MANY_REQUESTS, "over-rate request")?;
    if !refusal.is_not_run() || refusal.retry_after_s.is_none() || served == 0 {
        return Err(DemoError::UnexpectedResponse(format!(
            "{served} served, {}",
            body_text(&refusal)
        )));
    }
    println!(
        "{BURST_REQUESTS} requests over the rate at once: {served} served, then: {}",
        body_text(&refusal)
    );
    Ok(())
}

async fn show_withdrawal(fleet: &Fleet, key: &CustomerKey) -> Result<(), DemoError> {
    fleet.run_cli(&["keys", "withdraw", &key.id]).await?;
    let withdrawn_at = Instant::now();
    loop {
        let response = fleet.client(0).with_key(&key.key).get("/v1/models").await?;
        if response.error_kind().as_deref() == Some("invalid_key") {
            expect_status(&response, StatusCode::UNAUTHORIZED, "withdrawn key")?;
            break;
        }
        if withdrawn_at.elapsed() > WITHDRAWAL_TIMEOUT {
            return Err(DemoError::UnexpectedResponse(
                "the withdrawn key is still accepted".to_owned(),
            ));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!(
        "withdrawn key refused {} ms after the command returned",
        withdrawn_at.elapsed().as_millis()
    );
    Ok(())
}

async fn show_placement(fleet: &Fleet) -> Result<(), DemoError> {
    let explanation = fleet.run_cli(&["explain", "model", "rounds-small"]).await?;
    if explanation == Value::Null {
        return Err(DemoError::UnexpectedResponse(
            "no explanation of rounds-small".to_owned(),
        ));
    }
    println!("explain model rounds-small: {explanation}");
    Ok(())
}

fn expect_status(
    response: &ApiResponse,
    status: StatusCode,
    context: &str,
) -> Result<(), DemoError> {
    if response.status == status {
        return Ok(());
    }
    Err(DemoError::UnexpectedResponse(format!(
        "{context}: {} {}",
        response.status,
        body_text(response)
    )))
}

fn body_text(response: &ApiResponse) -> String {
    String::from_utf8_lossy(&response.body).into_owned()
}
