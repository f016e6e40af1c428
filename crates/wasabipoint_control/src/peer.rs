//! Transport of consensus messages between control members.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{Logger, info, warn};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wasabipoint_consensus::Transport;
use wasabipoint_kernel::MemberId;
use wasabipoint_rpc::{MAX_RPC_FRAME_BYTES, PeerBatch, PeerRpcClient, context_with_timeout};

use crate::addresses::AddressBook;

/// First byte on a connection between members. A connection from an entry or agent starts with a
/// frame length instead, whose first byte is zero because frames are shorter than 16 MiB.
pub(crate) const PEER_PREAMBLE: u8 = b'P';

/// Capacity of the queue to one member. Further messages are dropped; consensus resends them.
const QUEUE_CAPACITY: usize = 1_024;

/// Batch size from which no more messages are added. The last message may exceed it, but the batch
/// stays below the frame limit.
const TARGET_BATCH_BYTES: usize = 2 * 1_024 * 1_024;

/// Time limit for connecting and for delivering a batch. A connection on which it expires is
/// replaced.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Queue and sending task for one member.
struct PeerConnection {
    address: SocketAddr,
    sender: mpsc::Sender<Vec<u8>>,
    task: JoinHandle<()>,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Addresses of the other members and the connections to them.
struct PeerTable {
    address_book: AddressBook,
    connections: BTreeMap<MemberId, PeerConnection>,
    /// Members without an address for which a warning was logged.
    unaddressed: BTreeSet<MemberId>,
}

/// `Transport` that sends consensus messages over one connection per member.
pub(crate) struct PeerTransport {
    cluster: String,
    from: MemberId,
    from_rpc_address: SocketAddr,
    peers: Mutex<PeerTable>,
    logger: Logger,
}

impl PeerTransport {
    pub(crate) fn new(
        cluster: &str,
        from: MemberId,
        from_rpc_address: SocketAddr,
        address_book: AddressBook,
        logger: Logger,
    ) -> Self {
        let transport = Self {
            cluster: cluster.to_owned(),
            from,
            from_rpc_address,
            peers: Mutex::new(PeerTable {
                address_book,
                connections: BTreeMap::new(),
                unaddressed: BTreeSet::new(),
            }),
            logger,
        };
        transport.update_connections(&mut transport.lock());
        transport
    }

    /// Returns the address of a member, if known.
    pub(crate) fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.lock().address_book.get(member)
    }

    /// Replaces the replicated addresses and updates the connections.
    pub(crate) fn set_replicated(&self, addresses: BTreeMap<MemberId, SocketAddr>) {
        let mut peers = self.lock();
        peers.address_book.set_replicated(addresses);
        self.update_connections(&mut peers);
    }

    /// Stores the address that a member sent with a message and updates the connections if it
    /// changed.
    pub(crate) fn learn(&self, member: MemberId, address: SocketAddr) {
        let mut peers = self.lock();
        if peers.address_book.learn(member, address) {
            self.update_connections(&mut peers);
        }
    }

    fn lock(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes connections to outdated addresses and opens connections to new ones.
    fn update_connections(&self, peers: &mut PeerTable) {
        let addresses = peers.address_book.all();
        let connections = &mut peers.connections;
        connections.retain(|member, peer| addresses.get(member) == Some(&peer.address));
        let unaddressed = &mut peers.unaddressed;
        unaddressed.retain(|member| !addresses.contains_key(member));
        for (member, address) in addresses {
            if member != self.from && !connections.contains_key(&member) {
                info!(self.logger, "control: address of a member"; "member" => member.0,
                    "rpc" => %address);
                connections.insert(member, self.open_connection(member, address));
            }
        }
    }

    fn open_connection(&self, to: MemberId, address: SocketAddr) -> PeerConnection {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let peer_sender = PeerSender {
            cluster: self.cluster.clone(),
            from: self.from,
            from_rpc_address: self.from_rpc_address,
            to,
            address,
            receiver,
            logger: self.logger.clone(),
            is_reachable: None,
        };
        PeerConnection {
            address,
            sender,
            task: tokio::spawn(peer_sender.run()),
        }
    }
}

impl Transport for PeerTransport {
    fn send(&self, to: MemberId, message: Vec<u8>) {
        let mut peers = self.lock();
        if let Some(peer) = peers.connections.get(&to) {
            // A message for a full queue is dropped: the member is slow or unreachable, and
            // consensus resends lost messages.
            let _ = peer.sender.try_send(message);
        } else if peers.unaddressed.insert(to) {
            warn!(self.logger, "control: a member has no address, its messages are lost";
                "member" => to.0);
        }
    }
}

/// Task that batches and sends the queued messages for one member.
struct PeerSender {
    cluster: String,
    from: MemberId,
    from_rpc_address: SocketAddr,
    to: MemberId,
    address: SocketAddr,
    receiver: mpsc::Receiver<Vec<u8>>,
    logger: Logger,
    /// Whether the last batch was delivered, or `None` before the first one.
    is_reachable: Option<bool>,
}

impl PeerSender {
    async fn run(mut self) {
        let mut connection: Option<PeerRpcClient> = None;
        while let Some(first) = self.receiver.recv().await {
            let batch = self.collect_batch(first);
            if connection.is_none() {
                let attempt = tokio::time::timeout(DELIVER_TIMEOUT, connect_peer(self.address));
                connection = attempt.await.ok().and_then(Result::ok);
            }
            let Some(client) = &connection else {
                self.record_reachability(false);
                tokio::time::sleep(RECONNECT_DELAY).await;
                continue;
            };
            let delivery = client.deliver(context_with_timeout(DELIVER_TIMEOUT), batch);
            let delivered = tokio::time::timeout(DELIVER_TIMEOUT, delivery).await;
            let is_delivered = matches!(delivered, Ok(Ok(())));
            self.record_reachability(is_delivered);
            if !is_delivered {
                connection = None;
            }
        }
    }

    /// Logs when the member becomes reachable or unreachable.
    fn record_reachability(&mut self, is_reachable: bool) {
        if self.is_reachable.replace(is_reachable) == Some(is_reachable) {
            return;
        }
        info!(self.logger, "control: connection to a member"; "is_reached" => is_reachable,
            "member" => self.to.0, "rpc" => %self.address);
    }

    fn collect_batch(&mut self, first: Vec<u8>) -> PeerBatch {
        let mut bytes = first.len();
        let mut messages = vec![first];
        while bytes < TARGET_BATCH_BYTES {
            let Ok(next) = self.receiver.try_recv() else {
                break;
            };
            bytes += next.len();
            messages.push(next);
        }
        PeerBatch {
            cluster: self.cluster.clone(),
            from: self.from,
            from_rpc_address: self.from_rpc_address,
            to: self.to,
            messages,
        }
    }
}

async fn connect_peer(address: SocketAddr) -> io::Result<PeerRpcClient> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_u8(PEER_PREAMBLE).await?;
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_RPC_FRAME_BYTES)
        .new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    Ok(PeerRpcClient::new(tarpc::client::Config::default(), transport).spawn())
}
