//! Messages between control members.

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

/// First byte of a connection between members. A connection of an entry or agent starts with a
/// frame length, whose first byte is zero because frames are shorter than 16 MiB.
pub(crate) const PEER_PREAMBLE: u8 = b'P';

/// Messages that wait for one member; more are dropped, and consensus sends them again.
const QUEUED_MESSAGES: usize = 1_024;

/// Bytes after which a batch is sent; it stays below the frame bound with one more message.
const BATCH_BYTES: usize = 2 * 1_024 * 1_024;

/// Time in which a batch is delivered. A connection that is silent for longer is replaced.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed connection attempt.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);

struct Peer {
    address: SocketAddr,
    sender: mpsc::Sender<Vec<u8>>,
    task: JoinHandle<()>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What is known of the other members and the connections to them.
struct Peers {
    book: AddressBook,
    running: BTreeMap<MemberId, Peer>,
    /// Members without an address for which that is recorded.
    unaddressed: BTreeSet<MemberId>,
}

/// Sends consensus messages over one connection per member.
pub(crate) struct PeerTransport {
    cluster: String,
    from: MemberId,
    from_rpc: SocketAddr,
    peers: Mutex<Peers>,
    logger: Logger,
}

impl PeerTransport {
    pub(crate) fn new(
        cluster: &str,
        from: MemberId,
        from_rpc: SocketAddr,
        book: AddressBook,
        logger: Logger,
    ) -> Self {
        let transport = Self {
            cluster: cluster.to_owned(),
            from,
            from_rpc,
            peers: Mutex::new(Peers {
                book,
                running: BTreeMap::new(),
                unaddressed: BTreeSet::new(),
            }),
            logger,
        };
        transport.connect(&mut transport.lock());
        transport
    }

    /// Returns the address of a member.
    pub(crate) fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.lock().book.get(member)
    }

    /// Replaces the addresses that are replicated.
    pub(crate) fn set_replicated(&self, addresses: BTreeMap<MemberId, SocketAddr>) {
        let mut peers = self.lock();
        peers.book.set_replicated(addresses);
        self.connect(&mut peers);
    }

    /// Notes the address to which a member wants its answers.
    pub(crate) fn learn(&self, member: MemberId, address: SocketAddr) {
        let mut peers = self.lock();
        if peers.book.learn(member, address) {
            self.connect(&mut peers);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens connections to members with a new address, and closes those to old ones.
    fn connect(&self, peers: &mut Peers) {
        let addresses = peers.book.all();
        let running = &mut peers.running;
        running.retain(|member, peer| addresses.get(member) == Some(&peer.address));
        let unaddressed = &mut peers.unaddressed;
        unaddressed.retain(|member| !addresses.contains_key(member));
        for (member, address) in addresses {
            if member != self.from && !running.contains_key(&member) {
                info!(self.logger, "control: address of a member"; "member" => member.0,
                    "rpc" => %address);
                running.insert(member, self.start_peer(member, address));
            }
        }
    }

    fn start_peer(&self, to: MemberId, address: SocketAddr) -> Peer {
        let (sender, receiver) = mpsc::channel(QUEUED_MESSAGES);
        let sender_loop = SenderLoop {
            cluster: self.cluster.clone(),
            from: self.from,
            from_rpc: self.from_rpc,
            to,
            address,
            receiver,
            logger: self.logger.clone(),
            is_reached: None,
        };
        Peer {
            address,
            sender,
            task: tokio::spawn(sender_loop.run()),
        }
    }
}

impl Transport for PeerTransport {
    fn send(&self, to: MemberId, message: Vec<u8>) {
        let mut peers = self.lock();
        if let Some(peer) = peers.running.get(&to) {
            // A full queue means that the member is slow or gone; consensus repeats lost messages.
            let _ = peer.sender.try_send(message);
        } else if peers.unaddressed.insert(to) {
            warn!(self.logger, "control: a member has no address, its messages are lost";
                "member" => to.0);
        }
    }
}

struct SenderLoop {
    cluster: String,
    from: MemberId,
    from_rpc: SocketAddr,
    to: MemberId,
    address: SocketAddr,
    receiver: mpsc::Receiver<Vec<u8>>,
    logger: Logger,
    /// Whether the last batch was delivered; `None` before the first.
    is_reached: Option<bool>,
}

impl SenderLoop {
    async fn run(mut self) {
        let mut connection: Option<PeerRpcClient> = None;
        while let Some(first) = self.receiver.recv().await {
            let batch = self.collect_batch(first);
            if connection.is_none() {
                let attempt = tokio::time::timeout(DELIVER_TIMEOUT, connect_peer(self.address));
                connection = attempt.await.ok().and_then(Result::ok);
            }
            let Some(client) = &connection else {
                self.note_reached(false);
                tokio::time::sleep(CONNECT_PAUSE).await;
                continue;
            };
            let delivery = client.deliver(context_with_timeout(DELIVER_TIMEOUT), batch);
            let delivered = tokio::time::timeout(DELIVER_TIMEOUT, delivery).await;
            let is_delivered = matches!(delivered, Ok(Ok(())));
            self.note_reached(is_delivered);
            if !is_delivered {
                connection = None;
            }
        }
    }

    /// Records when the member is lost or reached again.
    fn note_reached(&mut self, is_reached: bool) {
        if self.is_reached.replace(is_reached) == Some(is_reached) {
            return;
        }
        info!(self.logger, "control: connection to a member"; "is_reached" => is_reached,
            "member" => self.to.0, "rpc" => %self.address);
    }

    fn collect_batch(&mut self, first: Vec<u8>) -> PeerBatch {
        let mut bytes = first.len();
        let mut messages = vec![first];
        while bytes < BATCH_BYTES {
            let Ok(next) = self.receiver.try_recv() else {
                break;
            };
            bytes += next.len();
            messages.push(next);
        }
        PeerBatch {
            cluster: self.cluster.clone(),
            from: self.from,
            from_rpc: self.from_rpc,
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
