//! Fake weight store with a limited load rate and bandwidth.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bpaf::Bpaf;
use futures::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;
use wasabipoint_http::HttpClient;

use crate::server::{
    FakeHandler, FakeResponse, FakeServer, json_response, lock, parse_json, read_body,
};

/// Timeout of a fetch by an engine, far above the duration of any transfer.
const FETCH_TIMEOUT: Duration = Duration::from_mins(10);

/// Options of the store.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub struct StoreOptions {
    /// Address to listen on.
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Loads started per second.
    #[bpaf(fallback(2))]
    pub loads_per_s: u64,
    /// Loads at once at full speed; more share the bandwidth.
    #[bpaf(fallback(4))]
    pub loads_at_once: u64,
    /// Adapters in transit at full speed; more share the bandwidth.
    #[bpaf(fallback(30))]
    pub adapters_in_transit: u64,
    /// Bandwidth of one load at full speed in MiB per second.
    #[bpaf(fallback(2_000))]
    pub mib_per_s: u64,
    /// Checkpoints up to this size count as adapters.
    #[bpaf(fallback(1_024))]
    pub adapter_mib: u64,
}

/// Counters of transfers, and the schedule of load starts.
#[derive(Debug, Default)]
struct Transfers {
    /// Earliest time at which the next load may start; `None` before the first load.
    next_start: Option<Instant>,
    /// Loads in progress.
    loads: u64,
    /// Adapter transfers in progress.
    adapters: u64,
    /// Completed transfers of both kinds.
    fetched: u64,
}

#[derive(Debug)]
struct Store {
    options: StoreOptions,
    transfers: Mutex<Transfers>,
    /// Multiplies the duration of every transfer; 1 is full speed.
    slow_factor: Mutex<u64>,
}

/// A running fake store.
#[derive(Debug)]
pub struct FakeStore {
    server: FakeServer,
}

impl FakeStore {
    /// Starts a fake store.
    pub async fn start(options: StoreOptions) -> io::Result<Self> {
        let listen = options.listen;
        let store = Arc::new(Store {
            options,
            transfers: Mutex::default(),
            slow_factor: Mutex::new(1),
        });
        let server = FakeServer::start(listen, store).await?;
        Ok(Self { server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the server, for `print_address_and_serve`.
    pub fn into_server(self) -> FakeServer {
        self.server
    }
}

#[derive(Deserialize)]
struct FetchRequest {
    mib: u64,
}

#[derive(Deserialize)]
struct StoreFaults {
    slow_factor: u64,
}

impl FakeHandler for Store {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, FakeResponse> {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            let body = read_body(request.into_body()).await?;
            match path.as_str() {
                "/fetch" => match parse_json::<FetchRequest>(&body) {
                    Ok(fetch) => {
                        self.transfer(fetch.mib).await;
                        Ok(json_response(200, &json!({})))
                    }
                    Err(response) => Ok(*response),
                },
                "/admin/faults" => Ok(parse_json::<StoreFaults>(&body).map_or_else(
                    |response| *response,
                    |faults| {
                        *lock(&self.slow_factor) = faults.slow_factor.max(1);
                        json_response(200, &json!({}))
                    },
                )),
                "/admin/state" => {
                    let transfers = lock(&self.transfers);
                    Ok(json_response(
                        200,
                        &json!({
                            "loads": transfers.loads,
                            "adapters": transfers.adapters,
                            "fetched": transfers.fetched,
                        }),
                    ))
                }
                _ => Ok(json_response(404, &json!({"error": "not_found"}))),
            }
        })
    }
}

/// Decrements the counter of transfers in progress on drop, whether the transfer ended or its
/// connection closed.
struct TransferGuard<'a> {
    store: &'a Store,
    is_adapter: bool,
}

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        let mut transfers = lock(&self.store.transfers);
        if self.is_adapter {
            transfers.adapters -= 1;
        } else {
            transfers.loads -= 1;
        }
    }
}

impl Store {
    /// Waits as long as the transfer of a checkpoint takes.
    async fn transfer(&self, mib: u64) {
        let is_adapter = mib <= self.options.adapter_mib;
        if !is_adapter {
            self.wait_for_load_start().await;
        }
        let (concurrent, limit) = {
            let mut transfers = lock(&self.transfers);
            if is_adapter {
                transfers.adapters += 1;
                (transfers.adapters, self.options.adapters_in_transit)
            } else {
                transfers.loads += 1;
                (transfers.loads, self.options.loads_at_once)
            }
        };
        let _guard = TransferGuard {
            store: self,
            is_adapter,
        };
        let slowdown = concurrent.div_ceil(limit.max(1)).max(1);
        let full_speed_ms = mib * 1_000 / self.options.mib_per_s.max(1);
        let slow_factor = *lock(&self.slow_factor);
        tokio::time::sleep(Duration::from_millis(
            full_speed_ms * slowdown * slow_factor,
        ))
        .await;
        lock(&self.transfers).fetched += 1;
    }

    /// Waits until the limit of loads per second allows another load to start.
    async fn wait_for_load_start(&self) {
        let start = {
            let mut transfers = lock(&self.transfers);
            let now = Instant::now();
            let start = transfers.next_start.map_or(now, |next| next.max(now));
            let interval_ms = 1_000 / self.options.loads_per_s.max(1);
            transfers.next_start = Some(start + Duration::from_millis(interval_ms));
            start
        };
        tokio::time::sleep_until(start).await;
    }
}

/// Fetches a checkpoint from the store and returns whether it arrived.
pub(crate) async fn fetch_checkpoint(store: SocketAddr, name: &str, mib: u64) -> bool {
    let body = json!({"name": name, "mib": mib}).to_string();
    let Ok(request) = Request::post(format!("http://{store}/fetch")).body(body.into()) else {
        return false;
    };
    HttpClient::without_pool(Duration::from_secs(1))
        .fetch(request, 1_024, FETCH_TIMEOUT)
        .await
        .is_ok_and(|response| response.status().is_success())
}
