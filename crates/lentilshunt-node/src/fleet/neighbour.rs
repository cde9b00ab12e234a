//! Takes from another node what the store does not tell.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Request, Uri};
use lentilshunt_core::membership::View;
use slog::{info, warn};
use tokio::time::{sleep, timeout_at};

use super::Installer;
use crate::relay::{
    Directory, Newest, Pool, Shared, State,
    body::{Payload, empty, read},
};

/// Time that the store has to tell a version which another node has in force.
const STORE_TIME: Duration = Duration::from_millis(1500);
/// Longest time for asking another node.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a node was asked.
const PAUSE: Duration = Duration::from_millis(300);

/// Asks a node that has a newer version, when the store does not tell it.
#[derive(Debug)]
pub struct Neighbour {
    shared: Arc<Shared>,
    installer: Arc<Installer>,
    pool: Arc<Pool>,
}

impl Neighbour {
    /// Creates the task; other nodes are reached through `pool`.
    #[must_use]
    pub fn new(shared: Arc<Shared>, installer: Arc<Installer>, pool: Arc<Pool>) -> Self {
        Self {
            shared,
            installer,
            pool,
        }
    }

    /// Watches for newer versions until the runtime ends.
    ///
    /// A node without any version asks at once, since it cannot serve.
    pub async fn run(self) {
        let mut newest = self.shared.newest.subscribe();
        loop {
            let held = self.shared.version();
            let found = newest.wait_for(|newest| newest.version > held).await;
            let Ok(Newest { node, .. }) = found.map(|found| *found) else {
                return;
            };
            if held > 0 {
                sleep(STORE_TIME).await;
            }
            if let Some(node) = node
                && self.shared.version() == held
            {
                self.ask(node).await;
            }
            sleep(PAUSE).await;
        }
    }

    async fn ask(&self, node: SocketAddr) {
        let mut request = Request::new(empty());
        *request.uri_mut() = Uri::from_static(State::PATH);
        let until = Instant::now() + TIMEOUT;
        let exchange = async {
            let response = self.pool.send(node, request).await.ok()?;
            read(response.into_body(), State::MAX_BYTES).await.ok()
        };
        let log = &self.shared.log;
        let Ok(Some(Payload::Whole(bytes))) = timeout_at(until.into(), exchange).await else {
            warn!(log, "node does not tell its state"; "node" => %node);
            return;
        };
        match State::decode(&bytes) {
            Ok(state) => self.take(state, node),
            Err(error) => warn!(log, "state cannot be read"; "node" => %node, "error" => %error),
        }
    }

    fn take(&self, state: State, node: SocketAddr) {
        info!(self.shared.log, "state taken from a node"; "node" => %node,
            "records" => state.records.len());
        if !state.rules.is_empty() {
            self.installer.install(state.rules);
        }
        // What the store has told counts more than what a node knew of it.
        if self.shared.directory.load().nodes() == 0 {
            let view = View::new(&state.records);
            let directory = Directory::new(&view.endpoints, &self.shared.place);
            self.shared.directory.store(Arc::new(directory));
        }
    }
}
