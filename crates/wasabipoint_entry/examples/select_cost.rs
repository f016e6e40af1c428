//! Measures the choice of an endpoint among 100 by speed and work against the choice by requests:
//! `cargo run --release -p wasabipoint_entry --example select_cost`.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::Instant;

use wasabipoint_entry::{Endpoints, ReportedLoad, SelectionCriteria};
use wasabipoint_kernel::{
    EndpointId, FailureDomain, Incarnation, ModelName, ServiceName, SoftwareVersion,
};
use wasabipoint_policy::RequestWork;
use wasabipoint_rpc::{EndpointKind, EndpointView};

const CANDIDATES: usize = 100;
const ROUNDS: u64 = 20_000;

fn endpoints(work_time_percent: Option<u32>) -> Option<Endpoints> {
    let mut endpoints = Endpoints::new(FailureDomain::new("domain-0"));
    let mut views = BTreeMap::new();
    for number in 0..CANDIDATES {
        let id = EndpointId::new(format!("engine-{number:03}"));
        let view = EndpointView {
            id: id.clone(),
            incarnation: Incarnation(1),
            address: "127.0.0.1:9".parse().ok()?,
            failure_domain: FailureDomain::new(format!("domain-{}", number % 3)),
            kind: EndpointKind::Engine,
            service: ServiceName::new("assistant"),
            models: vec![ModelName::new("model-1"), ModelName::new("model-2")],
            concurrency: 28,
            is_leaving: false,
            software_version: SoftwareVersion::new("v1"),
        };
        views.insert(id, view);
    }
    endpoints.update(&views);
    for (number, id) in views.keys().enumerate() {
        let load = ReportedLoad {
            running: number as u32 % 12,
            waiting: 0,
            slots: 28,
            work_time_percent,
        };
        endpoints.record_load(id, Incarnation(1), load, 1_000);
        let gap_us = 26_000 + number as u32 % 3 * 20_000;
        endpoints.record_gaps(id, Incarnation(1), &[gap_us; 16], 1_000);
    }
    Some(endpoints)
}

/// Returns the mean time of one choice in microseconds.
fn measure(work_time_percent: Option<u32>) -> Option<f64> {
    let mut endpoints = endpoints(work_time_percent)?;
    let (service, model) = (ServiceName::new("assistant"), ModelName::new("model-1"));
    let tried = BTreeSet::new();
    let criteria = |random| SelectionCriteria {
        homes: wasabipoint_entry::HomeRegions::default(),
        service: &service,
        model: Some(&model),
        prompt_parts: &[(1, 200), (2, 300)],
        tried: &tried,
        work: RequestWork {
            prompt_tokens: 700,
            answer_tokens: 400,
            max_gap_ms: 200,
            latency_objective_ms: 450,
        },
        software_version: None,
        begins_stream: false,
        random,
    };
    let selected = endpoints.select(&criteria(0), 1_100)?;
    endpoints.record_start(&selected.endpoint, &criteria(0), 1_100);
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        black_box(endpoints.select(&criteria(black_box(round)), 1_100 + round / 100));
    }
    Some(started_at.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64)
}

fn main() {
    let (Some(by_requests), Some(by_work)) = (measure(None), measure(Some(100))) else {
        println!("no endpoint was chosen");
        return;
    };
    println!(
        "{CANDIDATES} candidates: {by_requests:.1} us by requests, {by_work:.1} us by work, ratio {:.2}",
        by_work / by_requests
    );
}
