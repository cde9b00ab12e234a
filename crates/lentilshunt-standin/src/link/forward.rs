//! One address that is forwarded to another.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use super::{
    Topology,
    relay::{Relay, relay},
};

/// Time between two looks at a target that refuses connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// One address that is forwarded to another.
#[derive(Clone, Debug)]
pub(super) struct Forward {
    pub(super) listen: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) domain: String,
}

/// Relays connections, and refuses them while the target refuses connections.
pub(super) async fn run(forward: Forward, topology: Arc<Topology>) {
    loop {
        while TcpStream::connect(forward.target).await.is_err() {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        if let Ok(listener) = TcpListener::bind(forward.listen).await {
            accept(&forward, &topology, listener).await;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Accepts connections until the target refuses one.
async fn accept(forward: &Forward, topology: &Arc<Topology>, listener: TcpListener) {
    let refused = Arc::new(Notify::new());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = refused.notified() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(PROBE_INTERVAL).await;
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
