//! Forwarding of one address to another.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use super::{
    Topology,
    relay::{Relay, relay},
};

/// Pause before connecting, binding or accepting is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Addresses of a forward, and the failure domain of its target.
#[derive(Clone, Debug)]
pub(super) struct Forward {
    pub(super) listen: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) domain: String,
}

/// Relays connections; does not listen while the target refuses connections.
pub(super) async fn run(forward: Forward, topology: Arc<Topology>) {
    loop {
        while TcpStream::connect(forward.target).await.is_err() {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        if let Ok(listener) = TcpListener::bind(forward.listen).await {
            accept(&forward, &topology, listener).await;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Accepts connections until the target refuses one, then closes the listener.
async fn accept(forward: &Forward, topology: &Arc<Topology>, listener: TcpListener) {
    let refused = Arc::new(Notify::new());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = refused.notified() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let from = topology.domain(peer.ip());
        let connection = Relay {
            serial: topology.next_serial(),
            out: topology.direction(&from, &forward.domain),
            back: topology.direction(&forward.domain, &from),
            refused: Arc::clone(&refused),
        };
        tokio::spawn(relay(connection, stream, forward.target));
    }
}
