//! A TCP proxy that can simulate a network partition.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the copy buffer.
const BUFFER_BYTES: usize = 16 * 1_024;

/// How a proxy treats the data of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards data on all connections.
    Forward,
    /// Keeps connections open but forwards nothing, as in a partition that drops packets.
    Blackhole,
    /// Forwards nothing on connections that already exist, but everything on new ones, as after a
    /// partition that heals when the old connections are dead.
    BlackholeExisting,
}

/// A TCP proxy in front of one address.
#[derive(Debug)]
pub struct TcpProxy {
    address: SocketAddr,
    forwarded_bytes: Arc<AtomicU64>,
    mode: Arc<watch::Sender<ProxyMode>>,
    accept_task: JoinHandle<()>,
}

impl TcpProxy {
    /// Listens on an ephemeral port of `host` and forwards connections to `target`.
    pub async fn start(host: &str, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(ProxyMode::Forward));
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let mode_sender = Arc::clone(&mode);
        let counter = Arc::clone(&forwarded_bytes);
        let accept_task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let mode_sender = Arc::clone(&mode_sender);
                tokio::spawn(forward(client, target, mode_sender, Arc::clone(&counter)));
            }
        });
        Ok(Self {
            address,
            forwarded_bytes,
            mode,
            accept_task,
        })
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes forwarded in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Sets the mode, which applies to existing connections as well.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mode_sender: Arc<watch::Sender<ProxyMode>>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    // A connection that is accepted in this mode is a new one and is exempt from it.
    let is_new_connection = *mode_sender.borrow() == ProxyMode::BlackholeExisting;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let client_to_server = copy(
        client_read,
        server_write,
        mode_sender.subscribe(),
        is_new_connection,
        &forwarded_bytes,
    );
    let server_to_client = copy(
        server_read,
        client_write,
        mode_sender.subscribe(),
        is_new_connection,
        &forwarded_bytes,
    );
    tokio::join!(client_to_server, server_to_client);
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode_receiver: watch::Receiver<ProxyMode>,
    is_new_connection: bool,
    forwarded_bytes: &AtomicU64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        let is_forwarding = |mode: &ProxyMode| match mode {
            ProxyMode::Forward => true,
            ProxyMode::Blackhole => false,
            ProxyMode::BlackholeExisting => is_new_connection,
        };
        if mode_receiver.wait_for(is_forwarding).await.is_err() || count == 0 {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        forwarded_bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
}
