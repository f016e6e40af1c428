//! Fake of the platform's VM list, which shows changes with a delay.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bpaf::Bpaf;
use futures::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;

use crate::server::{
    FakeHandler, FakeResponse, FakeServer, json_response, lock, parse_json, read_body,
};

/// Options of the VM list.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub struct PlatformOptions {
    /// Address to listen on.
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Time after which a change shows in the list, in milliseconds.
    #[bpaf(fallback(2_000))]
    pub lag_ms: u64,
    /// VMs that are live at the start.
    #[bpaf(long("vm"))]
    pub vms: Vec<String>,
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be reclaimed.
    Leaving,
    /// The VM is gone.
    Terminated,
}

/// State changes of a VM in order. The list shows the last one that is at least as old as the lag.
/// `None` stands for the start, which is visible at once.
type StateChanges = Vec<(Option<Instant>, VmState)>;

#[derive(Debug)]
struct Platform {
    lag: Mutex<Duration>,
    vms: Mutex<BTreeMap<String, StateChanges>>,
}

/// A running fake VM list.
#[derive(Debug)]
pub struct FakePlatform {
    server: FakeServer,
    platform: Arc<Platform>,
}

impl FakePlatform {
    /// Starts a fake VM list.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        let vms = options.vms.into_iter();
        let platform = Arc::new(Platform {
            lag: Mutex::new(Duration::from_millis(options.lag_ms)),
            vms: Mutex::new(vms.map(|vm| (vm, vec![(None, VmState::Live)])).collect()),
        });
        let server = FakeServer::start(options.listen, Arc::<Platform>::clone(&platform)).await?;
        Ok(Self { server, platform })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the server, for `print_address_and_serve`.
    pub fn into_server(self) -> FakeServer {
        self.server
    }

    /// Sets the state of a VM, which the list shows after the lag.
    pub fn set_vm(&self, vm: &str, state: VmState) {
        self.platform.set_vm(vm, state);
    }
}

#[derive(Deserialize)]
struct VmChange {
    vm: String,
    state: VmState,
}

#[derive(Deserialize)]
struct PlatformFaults {
    lag_ms: u64,
}

impl Platform {
    fn set_vm(&self, vm: &str, state: VmState) {
        let mut vms = lock(&self.vms);
        let changes = vms.entry(vm.to_owned()).or_default();
        changes.push((Some(Instant::now()), state));
    }

    fn list(&self) -> serde_json::Value {
        let lag = *lock(&self.lag);
        let vms = lock(&self.vms);
        let visible = vms.iter().filter_map(|(vm, changes)| {
            let (_, state) = changes.iter().rfind(|(changed_at, _)| {
                changed_at.is_none_or(|changed_at| changed_at.elapsed() >= lag)
            })?;
            Some(json!({"vm": vm, "state": state}))
        });
        json!({"vms": visible.collect::<Vec<_>>()})
    }
}

impl FakeHandler for Platform {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, FakeResponse> {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            let body = read_body(request.into_body()).await?;
            let result = match path.as_str() {
                "/vms" => return Ok(json_response(200, &self.list())),
                "/admin/vm" => parse_json::<VmChange>(&body)
                    .map(|change| self.set_vm(&change.vm, change.state)),
                "/admin/faults" => parse_json::<PlatformFaults>(&body).map(|faults| {
                    *lock(&self.lag) = Duration::from_millis(faults.lag_ms);
                }),
                _ => return Ok(json_response(404, &json!({"error": "not_found"}))),
            };
            Ok(result.map_or_else(|response| *response, |()| json_response(200, &json!({}))))
        })
    }
}
