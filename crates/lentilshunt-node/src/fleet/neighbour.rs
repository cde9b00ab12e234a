//! Takes from another node what the store does not tell.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Request;
use lentilshunt_core::membership::View;
use slog::{info, warn};
use tokio::time::sleep;

use super::{Installer, Patch, State, domain::name};
use crate::relay::{Directory, NewestVersion, Pool, Shared, body::empty};

/// Time that the store has to tell a version which another node has in force.
const STORE_TIME: Duration = Duration::from_millis(900);
/// Time that the store has to tell a node that has just started its first version.
const START_TIME: Duration = Duration::from_millis(700);
/// Longest time in which another node begins to answer.
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
    /// A node without any version, which cannot serve, waits less for the store.
    pub async fn run(self) {
        let mut newest = self.shared.newest_version.subscribe();
        loop {
            let held = self.shared.version();
            let found = newest.wait_for(|newest| newest.version > held).await;
            let Ok(NewestVersion { node, .. }) = found.map(|found| *found) else {
                return;
            };
            sleep(if held > 0 { STORE_TIME } else { START_TIME }).await;
            if let Some(node) = node
                && self.shared.version() == held
            {
                self.ask(node).await;
            }
            sleep(PAUSE).await;
        }
    }

    async fn ask(&self, node: SocketAddr) {
        let held = self.installer.content();
        let mut request = Request::new(empty());
        let name = held.as_ref().map(|held| name(&[Patch::hash(held)]));
        let path = format!("{}{}", State::PATH, name.unwrap_or_default());
        let log = &self.shared.log;
        match path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(error) => {
                warn!(log, "state cannot be asked for"; "path" => path, "error" => %error);
                return;
            }
        }
        let begin_by = Instant::now() + TIMEOUT;
        let limit = State::MAX_BYTES;
        let bytes = match self.pool.fetch(node, request, begin_by, limit).await {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!(log, "node does not tell its state"; "node" => %node, "error" => %error);
                return;
            }
        };
        match State::decode(&bytes) {
            Ok(state) => self.take(state, held.as_ref(), node, bytes.len()),
            Err(error) => warn!(log, "state cannot be read"; "node" => %node, "error" => %error),
        }
    }

    fn take(&self, state: State, held: Option<&Bytes>, node: SocketAddr, size: usize) {
        info!(self.shared.log, "state taken from a node"; "node" => %node,
            "records" => state.records.len(), "bytes" => size);
        if let Some(rules) = state.rules.and_then(|patch| patch.apply(held)) {
            self.installer.install(rules);
        }
        // What the store has told counts more than what a node knew of it.
        if self.shared.directory.load().node_count() == 0 {
            let view = View::new(&state.records);
            let directory = Directory::new(&view.endpoints, &self.shared.locality);
            self.shared.directory.store(Arc::new(directory));
        }
    }
}
