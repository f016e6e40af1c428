//! The demo: a fleet of the Delta example, a few requests, and checks of their responses.

use std::time::Duration;

use bpaf::{OptionParser, Parser};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::caller::{Caller, ReceivedResponse};
use crate::fleet::{CallerKey, Fleet, FleetError};
use crate::plan::FleetPlan;

/// Endpoints of the Delta example.
const ENGINES: usize = 10;
const BOOKING_ENDPOINTS: usize = 4;

/// Requests sent at once by the customer that exceeds its rate. Together they reserve several
/// times its burst.
const BURST_REQUESTS: usize = 24;

/// Bound on the time until a withdrawn key is refused.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(10);

/// Why the demo failed.
#[derive(Debug)]
pub enum DemoError {
    /// The fleet could not be operated.
    Fleet(FleetError),
    /// A request got no response.
    NoResponse(String),
    /// A response was not the expected one.
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
            Self::NoResponse(what) => write!(f, "no response: {what}"),
            Self::UnexpectedResponse(what) => write!(f, "unexpected response: {what}"),
        }
    }
}

impl std::error::Error for DemoError {}

/// Options of the demo.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Leaves the fleet up until a signal arrives.
    pub is_kept: bool,
}

/// How the demo ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemoEnd {
    /// All that was to be shown was shown.
    Complete,
    /// It was stopped before.
    Stopped,
}

/// Returns the command line of the demo.
pub fn demo_options() -> OptionParser<DemoOptions> {
    let is_kept = bpaf::long("keep")
        .help("Leave the fleet up until Ctrl-C, with a key and a request to try")
        .switch();
    bpaf::construct!(DemoOptions { is_kept })
        .to_options()
        .descr(
            "Starts a fleet of the Delta example on loopback, sends requests, checks the answers.",
        )
}

/// Runs the demo and prints what happens. `stop` ends it early, and ends a fleet that is kept; every
/// process that was started has ended when this returns.
///
/// # Errors
///
/// Fails when the fleet cannot be operated or a response is not the expected one.
pub async fn run_demo(
    options: &DemoOptions,
    stop: impl Future<Output = ()>,
) -> Result<DemoEnd, DemoError> {
    tokio::pin!(stop);
    let plan = FleetPlan::delta().with_endpoints(ENGINES, BOOKING_ENDPOINTS);
    let started = Instant::now();
    let fleet = tokio::select! {
        fleet = Fleet::start(plan) => fleet?,
        () = &mut stop => return Ok(DemoEnd::Stopped),
    };
    let shown = tokio::select! {
        shown = show(&fleet, started) => Some(shown),
        () = &mut stop => None,
    };
    let end = match shown {
        None => Ok(DemoEnd::Stopped),
        Some(Err(error)) => Err(error),
        Some(Ok(())) if options.is_kept => match offer(&fleet).await {
            Ok(()) => {
                stop.await;
                Ok(DemoEnd::Complete)
            }
            Err(error) => Err(error),
        },
        Some(Ok(())) => Ok(DemoEnd::Complete),
    };
    fleet.stop().await?;
    println!("stopped every process by id");
    end
}

/// Prints a key and a request to try.
async fn offer(fleet: &Fleet) -> Result<(), DemoError> {
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

async fn show(fleet: &Fleet, started: Instant) -> Result<(), DemoError> {
    println!(
        "started {} in {:.1} s",
        fleet.describe(),
        started.elapsed().as_secs_f32()
    );
    println!("settings, data and logs: {}", fleet.folder().display());
    let key = fleet.add_key("bucket-traders").await?;
    fleet.wait_for_key(0, &key.key).await?;
    println!("applied the Delta inventory and rules, added a key");
    show_completion(&fleet.caller(0).with_key(&key.key)).await?;
    show_booking(&fleet.caller(1).with_key(&key.key)).await?;
    show_over_rate(fleet).await?;
    show_withdrawal(fleet, &key).await?;
    show_placement(fleet).await
}

async fn show_completion(caller: &Caller) -> Result<(), DemoError> {
    let prompt = "draft the round note for the hotels on the corniche";
    let started = Instant::now();
    let response = caller.chat("rounds-small", prompt, 24, true).await?;
    expect_status(&response, StatusCode::OK, "streamed completion")?;
    let events = response
        .events()
        .ok_or_else(|| DemoError::UnexpectedResponse("the stream has no end".to_owned()))?;
    let chunks: Vec<&str> = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect();
    if chunks.len() < 24 {
        return Err(DemoError::UnexpectedResponse(format!(
            "{} tokens of 24",
            chunks.len()
        )));
    }
    println!(
        "streamed completion on a cold model: {} events in {:.1} s: {:.60}",
        events.len(),
        started.elapsed().as_secs_f32(),
        chunks.concat()
    );
    Ok(())
}

async fn show_booking(caller: &Caller) -> Result<(), DemoError> {
    let headers = [
        ("content-type", "application/json"),
        ("idempotency-key", "pickup-17"),
    ];
    let body = json!({"pickup": 17, "buckets": 4}).to_string();
    let path = "/services/booking/pickups";
    let first = caller
        .send(Method::POST, path, &headers, body.clone())
        .await?;
    expect_status(&first, StatusCode::OK, "booking")?;
    let second = caller.send(Method::POST, path, &headers, body).await?;
    expect_status(&second, StatusCode::OK, "resent booking")?;
    if first.body != second.body {
        return Err(DemoError::UnexpectedResponse(
            "the resent booking got another response".to_owned(),
        ));
    }
    println!(
        "booking sent twice with one idempotency key, one answer: {}",
        text(&first)
    );
    Ok(())
}

async fn show_over_rate(fleet: &Fleet) -> Result<(), DemoError> {
    let key = fleet.add_key("door-vendors").await?;
    fleet.wait_for_key(0, &key.key).await?;
    let caller = fleet.caller(0).with_key(&key.key);
    let models = caller.get("/v1/models").await?.json();
    let model = models["data"][0]["id"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let tasks: Vec<_> = (0..BURST_REQUESTS)
        .map(|_| {
            let (caller, model) = (caller.clone(), model.clone());
            tokio::spawn(async move { caller.chat(&model, "price of roses", 512, false).await })
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
                    text(&response)
                )));
            }
        }
    }
    let refusal = refusal.ok_or_else(|| {
        DemoError::UnexpectedResponse("nothing was refused over the rate".to_owned())
    })?;
    expect_status(&refusal, StatusCode::TOO_MANY_REQUESTS, "over-rate request")?;
    if !refusal.is_not_run() || refusal.retry_after_s.is_none() || served == 0 {
        return Err(DemoError::UnexpectedResponse(format!(
            "{served} served, {}",
            text(&refusal)
        )));
    }
    println!(
        "{BURST_REQUESTS} requests over the rate at once: {served} served, then: {}",
        text(&refusal)
    );
    Ok(())
}

async fn show_withdrawal(fleet: &Fleet, key: &CallerKey) -> Result<(), DemoError> {
    fleet.operate(&["keys", "withdraw", &key.id]).await?;
    let withdrawn = Instant::now();
    loop {
        let response = fleet.caller(0).with_key(&key.key).get("/v1/models").await?;
        if response.error_kind().as_deref() == Some("invalid_key") {
            expect_status(&response, StatusCode::UNAUTHORIZED, "withdrawn key")?;
            break;
        }
        if withdrawn.elapsed() > WITHDRAWAL_BOUND {
            return Err(DemoError::UnexpectedResponse(
                "the withdrawn key still works".to_owned(),
            ));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!(
        "withdrawn key refused {} ms after the command returned",
        withdrawn.elapsed().as_millis()
    );
    Ok(())
}

async fn show_placement(fleet: &Fleet) -> Result<(), DemoError> {
    let explanation = fleet.operate(&["explain", "model", "rounds-small"]).await?;
    if explanation == Value::Null {
        return Err(DemoError::UnexpectedResponse(
            "no explanation of rounds-small".to_owned(),
        ));
    }
    println!("explain model rounds-small: {explanation}");
    Ok(())
}

fn expect_status(
    response: &ReceivedResponse,
    status: StatusCode,
    what: &str,
) -> Result<(), DemoError> {
    if response.status == status {
        return Ok(());
    }
    Err(DemoError::UnexpectedResponse(format!(
        "{what}: {} {}",
        response.status,
        text(response)
    )))
}

fn text(response: &ReceivedResponse) -> String {
    String::from_utf8_lossy(&response.body).into_owned()
}
