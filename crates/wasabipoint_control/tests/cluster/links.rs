//! Links between members that can fall silent without closing a connection.

use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fixture::bind;

/// A one-way route to a member: connections through it reach the target unless it is cut.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    is_cut: watch::Sender<bool>,
}

impl Link {
    pub(crate) async fn new(target: SocketAddr) -> Self {
        let listener = bind().await;
        let address = listener.local_addr().unwrap();
        let (is_cut, gate) = watch::channel(false);
        tokio::spawn(accept(listener, target, gate));
        Self { address, is_cut }
    }

    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, gate: watch::Receiver<bool>) {
    while let Ok((near, _)) = listener.accept().await {
        let gate = gate.clone();
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::join!(
                pump(near_read, far_write, gate.clone()),
                pump(far_read, near_write, gate),
            );
        });
    }
}

/// Copies bytes; while the link is cut they are held back.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut gate: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(count) = from.read(&mut buffer).await {
        let is_open = gate.wait_for(|is_cut| !is_cut).await.is_ok();
        if count == 0 || !is_open || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
