//! Tests with three members: loss and partition of the leader, membership changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::Value;
use wasabipoint_consensus::Role;
use wasabipoint_control::{ControlConfig, ControlServer};
use wasabipoint_kernel::{MemberId, ServiceName, SoftwareVersion};
use wasabipoint_rpc::{
    ControlClient, ControlError, FleetUpdate, StreamOrigin, StreamQuery, StreamRecord, WatchRequest,
};

use crate::fixture::{
    INVENTORY, RULES, STEP_TIMEOUT, TestAgent, apply_document, bind_listener, discard_logger,
    entry_report, member_config, parse_json, report_entry, send_request, send_to_leader, watch,
};
use crate::links::Link;

/// Three members that reach each other through links.
struct Cluster {
    configs: BTreeMap<u64, ControlConfig>,
    running: BTreeMap<u64, ControlServer>,
    /// Links by connecting and target member.
    links: BTreeMap<(u64, u64), Link>,
}

impl Cluster {
    async fn start() -> Self {
        let mut listeners = BTreeMap::new();
        for member in 1..=3 {
            listeners.insert(member, bind_listener().await);
        }
        let mut links = BTreeMap::new();
        for from in 1..=3 {
            for (to, listener) in listeners.iter().filter(|(to, _)| **to != from) {
                let link = Link::new(listener.local_addr().unwrap()).await;
                links.insert((from, *to), link);
            }
        }
        let mut configs = BTreeMap::new();
        let mut running = BTreeMap::new();
        for (member, listener) in listeners {
            let own_address = listener.local_addr().unwrap();
            let members = (1..=3).map(|to| {
                let link = links.get(&(member, to));
                (MemberId(to), link.map_or(own_address, |link| link.address))
            });
            let mut config = member_config(member, &members.collect());
            config.rpc_listen = own_address;
            configs.insert(member, config.clone());
            let server = ControlServer::start_on_listener(config, listener, discard_logger()).await;
            running.insert(member, server.unwrap());
        }
        Self {
            configs,
            running,
            links,
        }
    }

    fn http(&self) -> Vec<SocketAddr> {
        let running = self.running.values();
        running.map(ControlServer::http_address).collect()
    }

    fn client(&self) -> ControlClient {
        let members: Vec<_> = self.configs.values().map(|c| c.rpc_listen).collect();
        ControlClient::new(&members)
    }

    /// Waits until a member other than `except` leads.
    async fn wait_for_leader(&self, except: Option<u64>) -> u64 {
        let search = async {
            loop {
                for (member, server) in &self.running {
                    let leads = server.replica_status().role == Role::Leader;
                    if leads && Some(*member) != except {
                        return *member;
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, search).await.unwrap()
    }

    fn set_partitioned(&self, member: u64, is_partitioned: bool) {
        for ((from, to), link) in &self.links {
            if *from == member || *to == member {
                link.set_partitioned(is_partitioned);
            }
        }
    }

    async fn stop_member(&mut self, member: u64) {
        self.running.remove(&member).unwrap().stop().await;
    }

    async fn restart(&mut self, member: u64) {
        let config = self.configs[&member].clone();
        let server = ControlServer::start(config, discard_logger())
            .await
            .unwrap();
        self.running.insert(member, server);
    }

    async fn stop(self) {
        for server in self.running.into_values() {
            server.stop().await;
        }
    }
}

/// Waits until a member's local status meets a condition.
async fn wait_for_status(address: SocketAddr, is_met: impl Fn(&Value) -> bool) -> Value {
    let wait = async {
        loop {
            let status =
                parse_json(&send_request(address, Method::GET, "/v1/status/local", &[], "").await);
            if is_met(&status) {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, wait).await.unwrap()
}

/// Guards against the loss of acknowledged changes, keys and grants with the leader, and against a
/// resent change that the new leader applies a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn acknowledged_changes_survive_loss_of_the_leader() {
    let mut cluster = Cluster::start().await;
    let first = apply_document(&cluster.http(), "/v1/inventory", 0, "change-1", INVENTORY).await;
    assert_eq!(parse_json(&first)["version"], 1);
    apply_document(&cluster.http(), "/v1/rules", 1, "change-2", RULES).await;
    let key_headers = [("change-id", "key-1")];
    let body = r#"{"customer":"harbour"}"#;
    let added = send_to_leader(
        &cluster.http(),
        Method::POST,
        "/v1/keys",
        &key_headers,
        body,
    )
    .await;
    let client = cluster.client();
    let mut agent = TestAgent::new(1);
    agent.step(&client).await;
    report_entry(&client, entry_report(1, "summary-large", 1)).await;
    let granted = agent
        .step_until(&client, |directive| !directive.grants.is_empty())
        .await;

    let stopped = cluster.wait_for_leader(None).await;
    cluster.stop_member(stopped).await;
    let second = apply_document(&cluster.http(), "/v1/rules", 2, "change-3", RULES).await;
    assert_eq!(parse_json(&second)["version"], 3);
    let resent = apply_document(&cluster.http(), "/v1/inventory", 0, "change-1", INVENTORY).await;
    assert_eq!(parse_json(&resent)["version"], 1);
    let resent_key = send_to_leader(
        &cluster.http(),
        Method::POST,
        "/v1/keys",
        &key_headers,
        body,
    )
    .await;
    assert_eq!(parse_json(&resent_key), parse_json(&added));
    let current = agent.step(&client).await;
    assert_eq!(current.grants, granted.grants);

    cluster.restart(stopped).await;
    let restarted = cluster.running[&stopped].http_address();
    let status = wait_for_status(restarted, |status| status["config_version"] == 3).await;
    assert_eq!(status["keys"], 1);
    let stale = apply_document(&cluster.http(), "/v1/rules", 2, "change-4", RULES).await;
    assert_eq!(stale.status(), 409);
    cluster.stop().await;
}

fn stream_query(digest: u64) -> StreamQuery {
    StreamQuery {
        digest: Some(digest),
        service: ServiceName::new("app"),
    }
}

async fn find_stream(client: &ControlClient, digest: u64) -> StreamOrigin {
    let found = client.call(Duration::ZERO, STEP_TIMEOUT, |client, context| {
        let query = stream_query(digest);
        async move { client.find_stream(context, query).await }
    });
    found.await.unwrap()
}

/// Guards against the loss of a stream's software version with the leader or with all members: its
/// caller would resume it at another version.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn recorded_streams_survive_the_leader_and_a_stop_of_all_members() {
    let mut cluster = Cluster::start().await;
    let client = cluster.client();
    let stream = StreamRecord {
        digest: 7,
        service: ServiceName::new("app"),
        software_version: SoftwareVersion::new("v1.1"),
        lifetime_ms: 60_000,
    };
    let recorded = client.call(Duration::ZERO, STEP_TIMEOUT, |client, context| {
        let streams = vec![stream.clone()];
        async move { client.record_streams(context, streams).await }
    });
    recorded.await.unwrap();
    let origin = StreamOrigin::Recorded {
        service: stream.service.clone(),
        software_version: stream.software_version.clone(),
    };
    let leader = cluster.wait_for_leader(None).await;
    cluster.stop_member(leader).await;
    assert_eq!(find_stream(&client, 7).await, origin);
    let members: Vec<u64> = cluster.configs.keys().copied().collect();
    for member in members.iter().filter(|member| **member != leader) {
        cluster.stop_member(*member).await;
    }
    for member in members {
        cluster.restart(member).await;
    }
    assert_eq!(find_stream(&client, 7).await, origin);
    assert_eq!(find_stream(&client, 8).await, StreamOrigin::Unknown);
    cluster.stop().await;
}

/// Guards against concurrent calls of a process that knows no leader yet which undo each other's choice of
/// a member: callers that resumed streams just after a restart were refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_calls_find_the_leader() {
    let cluster = Cluster::start().await;
    let leader = cluster.wait_for_leader(None).await;
    let mut members: Vec<u64> = cluster.configs.keys().copied().collect();
    members.sort_unstable_by_key(|member| *member == leader);
    let members: Vec<SocketAddr> = members
        .iter()
        .map(|member| cluster.configs[member].rpc_listen)
        .collect();
    for calls in 1..=24 {
        let client = ControlClient::new(&members);
        let calls = (0..calls).map(|digest| find_stream(&client, digest));
        let found = futures::future::join_all(calls);
        // An entry process waits so long for the origin of a stream. Two members are asked in vain at
        // most, with a delay of 50 ms after each.
        let limit = Duration::from_millis(1_500);
        tokio::time::timeout(limit, found).await.unwrap();
    }
    cluster.stop().await;
}

/// Guards against a partitioned leader that still serves reads, or that acknowledges a change which
/// the other members never receive.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn partitioned_leader_does_not_answer_reads() {
    let cluster = Cluster::start().await;
    apply_document(&cluster.http(), "/v1/inventory", 0, "change-1", INVENTORY).await;
    let partitioned = cluster.wait_for_leader(None).await;
    let (http, rpc) = {
        let server = &cluster.running[&partitioned];
        (server.http_address(), server.rpc_address())
    };
    cluster.set_partitioned(partitioned, true);

    let read = send_request(http, Method::GET, "/v1/inventory", &[], "").await;
    assert!(matches!(read.status().as_u16(), 421 | 503), "{read:?}");
    let client = ControlClient::new(&[rpc]);
    let request = WatchRequest {
        process_name: "test".to_owned(),
        known_revision: 0,
        wait_ms: 0,
    };
    let watched = client
        .call(Duration::ZERO, Duration::from_secs(1), |rpc, context| {
            let request = request.clone();
            async move { rpc.watch(context, request).await }
        })
        .await;
    assert_eq!(watched, Err(ControlError::Unavailable));
    let found = client.call(Duration::ZERO, Duration::from_secs(1), |rpc, context| {
        let query = stream_query(7);
        async move { rpc.find_stream(context, query).await }
    });
    assert_eq!(found.await, Err(ControlError::Unavailable));
    let headers = [("expected-version", "1"), ("change-id", "isolated")];
    let refused = send_request(http, Method::PUT, "/v1/rules", &headers, RULES).await;
    assert!(
        matches!(refused.status().as_u16(), 421 | 503),
        "{refused:?}"
    );

    let leader = cluster.wait_for_leader(Some(partitioned)).await;
    let others: Vec<_> = cluster
        .running
        .iter()
        .filter(|(member, _)| **member != partitioned)
        .map(|(_, server)| server.http_address())
        .collect();
    let applied = apply_document(&others, "/v1/rules", 1, "change-2", RULES).await;
    assert_eq!(parse_json(&applied)["version"], 2);

    cluster.set_partitioned(partitioned, false);
    wait_for_status(http, |status| status["config_version"] == 2).await;
    // After the partition heals, the member follows the new leader and redirects to it.
    let leader_http = cluster.running[&leader].http_address().to_string();
    wait_for_status(http, |status| status["leader"] == leader).await;
    let redirected = send_request(http, Method::GET, "/v1/status", &[], "").await;
    assert_eq!(redirected.status(), 421);
    assert_eq!(redirected.headers()["leader"], leader_http.as_str());
    let FleetUpdate::Snapshot(view) = watch(&client, 0).await.update else {
        panic!("a client without a view gets a snapshot");
    };
    assert_eq!(view.config_version.0, 2);
    cluster.stop().await;
}

/// Guards against a status that counts a learner as redundancy, and against a new member that does
/// not receive the state.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn learner_is_promoted_and_replaces_a_stopped_member() {
    let mut cluster = Cluster::start().await;
    apply_document(&cluster.http(), "/v1/inventory", 0, "change-1", INVENTORY).await;
    let leader = cluster.wait_for_leader(None).await;
    let stopped = (1..=3).find(|member| *member != leader).unwrap();
    cluster.stop_member(stopped).await;
    let leader_address = cluster.running[&leader].http_address();
    wait_for_status(leader_address, |status| status["remaining_redundancy"] == 0).await;

    let listener = bind_listener().await;
    let own_address = listener.local_addr().unwrap();
    let mut members: BTreeMap<_, _> = cluster
        .configs
        .iter()
        .map(|(member, config)| (MemberId(*member), config.rpc_listen))
        .collect();
    members.insert(MemberId(4), own_address);
    let mut joining = member_config(4, &members);
    joining.is_joining = true;
    joining.members.remove(&MemberId(4));
    let server = ControlServer::start_on_listener(joining, listener, discard_logger()).await;
    cluster.running.insert(4, server.unwrap());
    let change_body = |change: &str, member: u64, address: Option<SocketAddr>| {
        let address = address.map_or(Value::Null, |address| address.to_string().into());
        serde_json::json!({"change": change, "member": member, "address": address}).to_string()
    };
    let mut redundancies = Vec::new();
    for (body, role) in [
        (change_body("add_learner", 4, Some(own_address)), "learner"),
        (change_body("promote", 4, None), "voter"),
    ] {
        let changed = change_membership(&cluster, &body).await;
        assert_eq!(changed, 200, "{body}");
        let has_role = |status: &Value| {
            let members = status["members"].as_array().unwrap();
            members
                .iter()
                .any(|m| m["member"] == 4 && m["role"] == role)
        };
        let status = wait_for_status(leader_address, has_role).await;
        redundancies.push(status["remaining_redundancy"].clone());
    }
    assert_eq!(redundancies[0], 0, "a learner adds no redundancy");
    let removed = change_membership(&cluster, &change_body("remove", stopped, None)).await;
    assert_eq!(removed, 200);
    wait_for_status(leader_address, |status| status["remaining_redundancy"] == 1).await;
    let joined_address = cluster.running[&4].http_address();
    wait_for_status(joined_address, |status| status["config_version"] == 1).await;
    cluster.stop().await;
}

/// Requests a membership change. Repeats it while the leader is not ready or the learner lags
/// behind.
async fn change_membership(cluster: &Cluster, body: &str) -> u16 {
    let path = "/v1/members";
    let changed = send_to_leader(&cluster.http(), Method::POST, path, &[], body).await;
    changed.status().as_u16()
}
