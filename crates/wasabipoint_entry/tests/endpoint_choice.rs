//! Choice of endpoints by speed and work in an entry process, without network.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use wasabipoint_entry::{Endpoints, ReportedLoad, SelectionCriteria};
use wasabipoint_kernel::{
    CallerLimits, Deployment, EndpointId, EngineSpec, FailureDomain, ForwardService, Incarnation,
    ModelName, ServiceName, SoftwareVersion,
};
use wasabipoint_policy::{LoadEstimate, RequestWork, choose_lowest_cost, mean_load};
use wasabipoint_rpc::{EndpointKind, EndpointView, SpeedDirective};

const SLOTS: u32 = 28;

fn engine(number: usize, domain: &str, incarnation: u64) -> EndpointView {
    EndpointView {
        id: EndpointId::new(format!("engine-{number:03}")),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:9".parse().expect("the address is well formed"),
        failure_domain: FailureDomain::new(domain),
        kind: EndpointKind::Engine,
        service: ServiceName::new("assistant"),
        models: vec![ModelName::new("m")],
        concurrency: SLOTS,
        is_leaving: false,
        software_version: SoftwareVersion::new("v1"),
    }
}

fn update(endpoints: &mut Endpoints, views: &[EndpointView]) {
    let views: BTreeMap<_, _> = views
        .iter()
        .map(|view| (view.id.clone(), view.clone()))
        .collect();
    endpoints.update(&views);
}

fn endpoints(views: &[EndpointView]) -> Endpoints {
    let mut endpoints = Endpoints::new(FailureDomain::new("here"));
    update(&mut endpoints, views);
    endpoints
}

struct Request {
    service: ServiceName,
    model: ModelName,
    tried: BTreeSet<EndpointId>,
    parts: Vec<(u64, u64)>,
    work: RequestWork,
}

impl Request {
    fn new(prompt_tokens: u32, parts: &[(u64, u64)]) -> Self {
        Self {
            service: ServiceName::new("assistant"),
            model: ModelName::new("m"),
            tried: BTreeSet::new(),
            parts: parts.to_vec(),
            work: RequestWork {
                prompt_tokens,
                answer_tokens: 400,
                max_gap_ms: 200,
                latency_objective_ms: 450,
            },
        }
    }

    fn criteria(&self, random: u64) -> SelectionCriteria<'_> {
        SelectionCriteria {
            homes: wasabipoint_entry::HomeRegions::default(),
            service: &self.service,
            model: Some(&self.model),
            prompt_parts: &self.parts,
            tried: &self.tried,
            work: self.work,
            software_version: None,
            begins_stream: false,
            random,
        }
    }

    /// Returns how many of 32 choices fall on each endpoint.
    fn choices(&self, endpoints: &Endpoints, now_ms: u64) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for random in 0..32 {
            let selected = endpoints.select(&self.criteria(random), now_ms);
            let selected = selected.expect("there are endpoints");
            *counts
                .entry(selected.endpoint.id.as_str().to_owned())
                .or_default() += 1;
        }
        counts
    }
}

fn load(running: u32, work_time_percent: Option<u32>) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting: 0,
        slots: SLOTS,
        work_time_percent,
    }
}

fn directive(number: usize, event_us: u32) -> SpeedDirective {
    SpeedDirective {
        endpoint: EndpointId::new(format!("engine-{number:03}")),
        incarnation: Incarnation(1),
        event_us,
        age_ms: 100,
    }
}

/// A configuration in which each engine holds a number of tokens.
fn deployment(cache_tokens: u64) -> Deployment {
    let name = ServiceName::new("assistant");
    let service = ForwardService {
        name: name.clone(),
        max_connections: 8,
        engine: Some(EngineSpec {
            slots: SLOTS,
            cache_tokens,
            weights_mb: 1,
            max_adapters: 0,
            store_loads_per_1000_s: 1,
            models: BTreeMap::new(),
        }),
        cold_limit: None,
    };
    Deployment {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(name, service)]),
        customers: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
    }
}

/// The choice by the number of requests, as it was before speeds were measured.
struct ChoiceByRequests {
    estimates: Vec<LoadEstimate>,
    own: Vec<u32>,
    has_cached: Vec<bool>,
}

impl ChoiceByRequests {
    fn choose(&self, views: &[EndpointView], random: u64, now_ms: u64) -> Option<usize> {
        let mean = mean_load(self.estimates.iter(), now_ms);
        let costs = views.iter().enumerate().map(|(index, view)| {
            let others = self.estimates[index].other_requests(mean, now_ms);
            let mut cost = (f64::from(self.own[index]) + others) / f64::from(SLOTS);
            if view.failure_domain != FailureDomain::new("here") {
                cost += 0.03;
            }
            if self.has_cached[index] {
                cost -= 0.10;
            }
            cost
        });
        choose_lowest_cost(&costs.collect::<Vec<f64>>(), random)
    }
}

proptest! {
    /// Guards against any change of the choice for services whose endpoints state no time of work: same
    /// choice with the same random number, whatever is measured.
    #[test]
    fn without_a_stated_time_the_choice_is_by_requests(
        domains in proptest::collection::vec(any::<bool>(), 1..20),
        events in proptest::collection::vec((0_usize..20, 0_u32..40, 0_u64..400, 0_u8..4), 0..60),
        prompt_tokens in 0_u32..4_000,
        randoms in proptest::collection::vec(any::<u64>(), 8),
    ) {
        let views: Vec<EndpointView> = domains
            .iter()
            .enumerate()
            .map(|(number, is_here)| engine(number, if *is_here { "here" } else { "far" }, 1))
            .collect();
        let mut endpoints = endpoints(&views);
        endpoints.apply_cache_sizes(&deployment(2_000));
        let request = Request::new(prompt_tokens, &[(7, 300)]);
        let mut expected = ChoiceByRequests {
            estimates: vec![LoadEstimate::default(); views.len()],
            own: vec![0; views.len()],
            has_cached: vec![false; views.len()],
        };
        let mut now_ms = 1_000;
        for (number, running, later_ms, kind) in events {
            now_ms += later_ms;
            let number = number % views.len();
            let (id, incarnation) = (&views[number].id, Incarnation(1));
            match kind {
                0 => {
                    endpoints.record_start(&views[number], &request.criteria(0), now_ms);
                    expected.own[number] += 1;
                    expected.has_cached[number] = true;
                }
                1 => endpoints.record_gaps(id, incarnation, &[running * 10_000; 16], now_ms),
                2 => {
                    let is_slow = endpoints.record_stream(id, incarnation, true);
                    prop_assert_eq!(is_slow, None);
                }
                _ => {
                    endpoints.record_load(id, incarnation, load(running, None), now_ms);
                    expected.estimates[number].record_report(running, expected.own[number], now_ms);
                }
            }
        }
        for random in randoms {
            let selected = endpoints.select(&request.criteria(random), now_ms);
            let selected = selected.expect("there are endpoints");
            let index = expected.choose(&views, random, now_ms).expect("there are endpoints");
            prop_assert_eq!(selected.endpoint.id, views[index].id.clone());
            prop_assert_eq!(selected.work, None);
        }
        prop_assert!(endpoints.take_speed_reports(now_ms).is_empty());
    }
}

/// Sends a request, so that the statistics of the service are derived, and ends it.
fn send_and_end(endpoints: &mut Endpoints, view: &EndpointView, now_ms: u64) {
    let request = Request::new(700, &[]);
    let charge = endpoints.record_start(view, &request.criteria(0), now_ms);
    endpoints.remove_work(&view.id, view.incarnation, charge);
    endpoints.record_end(&view.id, view.incarnation);
}

fn three_engines() -> Vec<EndpointView> {
    (0..3).map(|number| engine(number, "here", 1)).collect()
}

/// Guards against measurements that do not reach the choice once an endpoint states its time, and
/// against a restarted endpoint that is judged by its predecessor.
#[test]
fn a_slow_endpoint_is_avoided_until_its_next_incarnation() {
    let mut views = three_engines();
    let mut endpoints = endpoints(&views);
    for view in &views {
        let event_us = if view.id.as_str() == "engine-001" {
            105_000
        } else {
            42_000
        };
        endpoints.record_load(&view.id, Incarnation(1), load(2, Some(100)), 1_000);
        endpoints.record_gaps(&view.id, Incarnation(1), &[event_us; 16], 1_000);
        endpoints.record_gaps(&view.id, Incarnation(1), &[event_us; 16], 1_000);
    }
    send_and_end(&mut endpoints, &views[0], 1_100);
    let request = Request::new(700, &[]);
    let choices = request.choices(&endpoints, 1_100);
    assert!(!choices.contains_key("engine-001"), "{choices:?}");
    let selected = endpoints.select(&request.criteria(0), 1_100);
    let work = selected.and_then(|selected| selected.work);
    assert!(work.is_some_and(|work| work.speed > 1.0 && work.stated == Some((100, 100))));
    assert_eq!(
        endpoints.record_stream(&EndpointId::new("engine-001"), Incarnation(1), true),
        Some(true)
    );
    let reports = endpoints.take_speed_reports(1_200);
    assert_eq!(reports.len(), 3, "{reports:?}");

    views[1].incarnation = Incarnation(2);
    update(&mut endpoints, &views);
    // What arrives late for the old incarnation says nothing about the new one.
    endpoints.record_gaps(&views[1].id, Incarnation(1), &[105_000; 16], 1_300);
    for view in &views {
        endpoints.record_load(&view.id, view.incarnation, load(2, Some(100)), 1_400);
    }
    send_and_end(&mut endpoints, &views[0], 1_400);
    let choices = request.choices(&endpoints, 1_400);
    assert!(choices.contains_key("engine-001"), "{choices:?}");
}

/// Guards against a new process that sends to slow endpoints until it has measured them itself, and
/// against a speed of another incarnation.
#[test]
fn a_new_process_uses_the_speeds_that_the_leader_states() {
    let views = three_engines();
    let mut endpoints = endpoints(&views);
    let mut former = directive(2, 400_000);
    former.incarnation = Incarnation(9);
    let directives = [
        directive(0, 42_000),
        directive(1, 105_000),
        directive(2, 42_000),
        former,
    ];
    endpoints.apply_speeds(&directives, 50);
    send_and_end(&mut endpoints, &views[0], 60);
    let choices = Request::new(700, &[]).choices(&endpoints, 60);
    assert!(!choices.contains_key("engine-001"), "{choices:?}");
    assert!(choices.contains_key("engine-002"), "{choices:?}");
}

/// Pattern: long prompts among short streams. Guards against a prompt on its way that is forgotten, or
/// that still counts after the first event, a failure or the end.
#[test]
fn prompts_on_their_way_divert_requests_until_the_first_event() {
    let views = three_engines();
    let mut endpoints = endpoints(&views);
    for view in &views {
        endpoints.record_load(&view.id, Incarnation(1), load(0, Some(100)), 1_000);
    }
    let long = Request::new(2_500, &[]);
    let mut charge = endpoints.record_start(&views[0], &long.criteria(0), 1_000);
    let request = Request::new(700, &[]);
    assert!(
        !request
            .choices(&endpoints, 1_010)
            .contains_key("engine-000")
    );
    let prompt_tokens = |endpoints: &Endpoints| {
        let mut alone = Request::new(700, &[]);
        alone.tried = views[1..].iter().map(|view| view.id.clone()).collect();
        let selected = endpoints.select(&alone.criteria(0), 1_010);
        selected
            .and_then(|selected| selected.work)
            .map(|work| work.prompt_tokens)
    };
    assert_eq!(prompt_tokens(&endpoints), Some(2_500));
    endpoints.record_first_event(&views[0], &mut charge, 110_000);
    assert_eq!(prompt_tokens(&endpoints), Some(0));
    endpoints.record_first_event(&views[0], &mut charge, 110_000);
    endpoints.remove_work(&views[0].id, Incarnation(1), charge);
    assert_eq!(prompt_tokens(&endpoints), Some(0));
    let failed = endpoints.record_start(&views[0], &long.criteria(0), 1_000);
    endpoints.remove_work(&views[0].id, Incarnation(1), failed);
    assert_eq!(prompt_tokens(&endpoints), Some(0));
}

/// Guards against another prompt at an endpoint whose streams the prompts on their way already delay beyond
/// their objective, while any other endpoint is below this bound, and against a request that is not served
/// because none is.
#[test]
fn an_endpoint_beyond_its_bound_is_used_only_if_no_other_is_below() {
    let views = &three_engines()[..2];
    let mut endpoints = endpoints(views);
    endpoints.record_load(&views[0].id, Incarnation(1), load(0, Some(100)), 1_000);
    endpoints.record_load(&views[1].id, Incarnation(1), load(27, Some(100)), 1_000);
    let long = Request::new(9_000, &[]);
    let _charge = endpoints.record_start(&views[0], &long.criteria(0), 1_000);
    let mut request = Request::new(100, &[]);
    let choices = request.choices(&endpoints, 1_010);
    assert_eq!(choices.keys().collect::<Vec<_>>(), ["engine-001"]);
    request.tried.insert(views[1].id.clone());
    let choices = request.choices(&endpoints, 1_010);
    assert_eq!(choices.keys().collect::<Vec<_>>(), ["engine-000"]);
}

/// Guards against requests whose tokens do not fit into the cache of an endpoint, while they fit into
/// that of another one.
#[test]
fn tokens_go_where_the_cache_holds_them() {
    let views = &three_engines()[..2];
    let mut endpoints = endpoints(views);
    endpoints.apply_cache_sizes(&deployment(3_000));
    for view in views {
        endpoints.record_load(&view.id, Incarnation(1), load(0, Some(100)), 1_000);
    }
    let long = Request::new(2_000, &[]);
    let mut charge = endpoints.record_start(&views[0], &long.criteria(0), 1_000);
    // The prompt has been read; its 2,000 tokens and 400 of the answer are held until the end.
    endpoints.record_first_event(&views[0], &mut charge, 100_000);
    let mut short = Request::new(100, &[]);
    short.work.answer_tokens = 600;
    // The other endpoint has more requests, which hold few tokens.
    let mut tiny = Request::new(0, &[]);
    tiny.work.answer_tokens = 10;
    for _ in 0..3 {
        let _charge = endpoints.record_start(&views[1], &tiny.criteria(0), 1_000);
    }
    let choices = short.choices(&endpoints, 1_010);
    assert_eq!(choices.keys().collect::<Vec<_>>(), ["engine-001"]);
    endpoints.remove_work(&views[0].id, Incarnation(1), charge);
    endpoints.record_end(&views[0].id, Incarnation(1));
    assert!(short.choices(&endpoints, 1_010).contains_key("engine-000"));
}

/// Guards against cached prompt parts that count as work.
#[test]
fn cached_prompt_parts_are_no_work() {
    let views = three_engines();
    let mut endpoints = endpoints(&views);
    endpoints.record_load(&views[0].id, Incarnation(1), load(0, Some(100)), 1_000);
    let request = Request::new(2_000, &[(1, 1_500), (2, 300)]);
    let first = endpoints.record_start(&views[0], &request.criteria(0), 1_000);
    endpoints.remove_work(&views[0].id, Incarnation(1), first);
    endpoints.record_end(&views[0].id, Incarnation(1));
    let _second = endpoints.record_start(&views[0], &request.criteria(0), 1_100);
    let mut alone = Request::new(2_000, &[(1, 1_500), (2, 300)]);
    alone.tried = views[1..].iter().map(|view| view.id.clone()).collect();
    let selected = endpoints.select(&alone.criteria(0), 1_100);
    let work = selected.and_then(|selected| selected.work);
    assert_eq!(work.map(|work| work.prompt_tokens), Some(200));
}
