//! A TCP forwarder whose connections can be silenced, refused or closed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1_024;

/// What a link does with its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    Open,
    /// Connections stay open, but nothing passes, as after a silent partition.
    Silent,
    /// Connections that exist stay silent for good; new ones pass.
    OldSilent,
}

/// A forwarder in front of one address.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    forwarded_bytes: Arc<AtomicU64>,
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Listens on a port that the system chooses at `host` and forwards to `target`.
    pub async fn start(host: &str, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let states = Arc::clone(&state);
        let counter = Arc::clone(&forwarded_bytes);
        let task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let states = Arc::clone(&states);
                tokio::spawn(forward(caller, target, states, Arc::clone(&counter)));
            }
        });
        Ok(Self {
            address,
            forwarded_bytes,
            state,
            task,
        })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes that passed in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Changes what happens to bytes from now on.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    caller: TcpStream,
    target: SocketAddr,
    states: Arc<watch::Sender<LinkState>>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    // A connection made while old ones are silent is not one of them.
    let is_exempt = *states.borrow() == LinkState::OldSilent;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    let upward = copy(
        caller_read,
        server_write,
        states.subscribe(),
        is_exempt,
        &forwarded_bytes,
    );
    let downward = copy(
        server_read,
        caller_write,
        states.subscribe(),
        is_exempt,
        &forwarded_bytes,
    );
    tokio::join!(upward, downward);
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut states: watch::Receiver<LinkState>,
    is_exempt: bool,
    forwarded_bytes: &AtomicU64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        let passes = |state: &LinkState| match state {
            LinkState::Open => true,
            LinkState::Silent => false,
            LinkState::OldSilent => is_exempt,
        };
        if states.wait_for(passes).await.is_err() || count == 0 {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        forwarded_bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
}
