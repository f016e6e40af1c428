//! Dispatch to a model engine.

use serde_json::json;
use wasabipoint_fakes::{EngineOptions, answer_text};

use crate::support::{call, completion, start_engine};

/// Guards against responses that are lost, changed or reordered between engine and entry.
#[tokio::test]
async fn streams_a_completion_of_a_granted_model() {
    let setup = start_engine(EngineOptions::for_tests(), "").await;
    let received = call(&setup.agent, completion("good morning", &json!({}))).await;
    assert_eq!(received.text(), answer_text("good morning", 8));
    assert_eq!(received.head.unwrap().0, 200);
}
