//! Proxied links between members that can stop forwarding without closing connections.

use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fixture::bind_listener;

/// Proxy in front of one member for the connections that another member opens.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    is_partitioned: watch::Sender<bool>,
}

impl Link {
    pub(crate) async fn new(target: SocketAddr) -> Self {
        let listener = bind_listener().await;
        let address = listener.local_addr().unwrap();
        let (is_partitioned, partition) = watch::channel(false);
        tokio::spawn(forward_connections(listener, target, partition));
        Self {
            address,
            is_partitioned,
        }
    }

    pub(crate) fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.send_replace(is_partitioned);
    }
}

async fn forward_connections(
    listener: TcpListener,
    target: SocketAddr,
    partition: watch::Receiver<bool>,
) {
    while let Ok((inbound, _)) = listener.accept().await {
        let partition = partition.clone();
        tokio::spawn(async move {
            let Ok(outbound) = TcpStream::connect(target).await else {
                return;
            };
            let (inbound_read, inbound_write) = inbound.into_split();
            let (outbound_read, outbound_write) = outbound.into_split();
            tokio::join!(
                forward_bytes(inbound_read, outbound_write, partition.clone()),
                forward_bytes(outbound_read, inbound_write, partition),
            );
        });
    }
}

/// Copies bytes and holds them back while the link is partitioned.
async fn forward_bytes(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut partition: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(count) = from.read(&mut buffer).await {
        let is_open = partition
            .wait_for(|is_partitioned| !is_partitioned)
            .await
            .is_ok();
        if count == 0 || !is_open || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
