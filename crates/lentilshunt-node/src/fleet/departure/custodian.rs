//! Keeps copies of departures on several nodes.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Uri};
use lentilshunt_core::{
    encoding, id::InstanceId, leaving::Departure, membership::rendezvous_weight,
};
use slog::{info, warn};
use tokio::{
    sync::{Notify, watch},
    task::JoinSet,
    time::timeout_at,
};

use super::{
    Transfer,
    entry::{Due, Entry},
    row::{self, Row},
};
use crate::{
    executor::lock,
    fleet::{Error, TableStore},
    relay::{
        Pool, Shared,
        body::{empty, full},
    },
};

/// Number of other nodes that keep a copy of the departures of an upstream.
const COPIES: usize = 4;
/// Time limit for sending a copy to one node.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for the response to an inquiry, for which the use of the upstream waits.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum size of the response to a copy, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024;

/// Keeps the departures of the local upstream on other nodes, and those of other upstreams here.
///
/// While the store does not have them, each node with a copy sends it to the others and to the node
/// of the instance, so that it outlives restarts of these nodes one after the other. It writes the
/// row itself if the node of the instance does not respond.
#[derive(Debug)]
pub struct Custodian {
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    store: Arc<dyn TableStore>,
    table: String,
    /// Address of the local node for other nodes.
    address: SocketAddr,
    entries: Mutex<BTreeMap<InstanceId, Entry>>,
    /// Notified when an entry may have to be sent earlier.
    changed: Notify,
    /// Nodes that have a copy of the departures of the local upstream.
    holders: watch::Sender<BTreeSet<InstanceId>>,
}

impl Custodian {
    /// Creates a custodian; `address` is that of the local node for other nodes.
    ///
    /// Copies are sent through `pool`, and rows are written to the table in which nodes keep those
    /// of their own departures.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        pool: Arc<Pool>,
        store: Arc<dyn TableStore>,
        table: String,
        address: SocketAddr,
    ) -> Self {
        Self {
            shared,
            pool,
            store,
            table,
            address,
            entries: Mutex::default(),
            changed: Notify::new(),
            holders: watch::Sender::default(),
        }
    }

    /// Returns the address of the local node for other nodes.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a receiver of the nodes that have a copy of the departures of the local upstream.
    pub(super) fn holders(&self) -> watch::Receiver<BTreeSet<InstanceId>> {
        self.holders.subscribe()
    }

    /// Returns the number of other nodes that are to have a copy of the local departures.
    pub(super) fn wanted_copies(&self) -> usize {
        let local = &self.shared.locality.instance;
        let entries = lock(&self.entries);
        let nodes = entries.get(local).map(|entry| entry.nodes.len());
        nodes.unwrap_or_default()
    }

    /// Sends the departures of the local upstream to other nodes, if one of them is new.
    ///
    /// The nodes that have had a copy before have to confirm the new one.
    pub(super) fn keep(&self, departures: &[Departure], now: Instant) {
        let local = &self.shared.locality.instance;
        let mut entries = lock(&self.entries);
        let entry = entry(&mut entries, local, now);
        // A node that starts while the store is away has no directory at first, and keeps the nodes
        // that have sent their copy.
        let nodes = self.choose_nodes(local);
        let is_first = entry.nodes.is_empty() && !nodes.is_empty() && !departures.is_empty();
        if !entry.record_own(departures, now) && !is_first {
            return;
        }
        if !nodes.is_empty() {
            entry.nodes = nodes;
        }
        entry.send_own(now);
        self.holders.send_replace(BTreeSet::new());
        drop(entries);
        self.changed.notify_one();
    }

    /// Keeps the departures of an instance that another node has sent.
    pub(super) fn receive(&self, transfer: Transfer, now: Instant) {
        let Transfer {
            sender,
            instance,
            departures,
            nodes,
        } = transfer;
        let local = &self.shared.locality.instance;
        let mut entries = lock(&self.entries);
        let entry = entry(&mut entries, &instance, now);
        if entry.record_received(&departures, now) {
            info!(self.shared.log, "departures received from another node"; "node" => &sender,
                "instance" => &instance, "departures" => departures.len());
            metrics::counter!("lentilshunt_departure_copies_total").increment(1);
        }
        let others = nodes.into_iter().filter(|(node, _)| node != local);
        entry.nodes.extend(others);
        let mut known = entry.history.departures().into_iter();
        let has_all = known.all(|departure| departure.is_among(&departures));
        drop(entries);
        if instance == *local && has_all {
            self.add_holder(sender);
        }
        self.changed.notify_one();
    }

    fn add_holder(&self, node: InstanceId) {
        self.holders
            .send_if_modified(|holders| holders.insert(node));
    }

    /// Records which departures of an instance the store has; it lacks the others that are known.
    pub(super) fn observe(&self, instance: &str, departures: &[Departure], now: Instant) {
        let mut entries = lock(&self.entries);
        entry(&mut entries, instance, now).record_stored(departures, now);
    }

    /// Forgets the departures of an instance, whose row has been removed.
    pub(super) fn forget(&self, instance: &str) {
        let mut entries = lock(&self.entries);
        if entries.get(instance).is_some_and(Entry::is_stored) {
            entries.remove(instance);
        }
    }

    /// Forgets the departures of instances that a table no longer lists.
    pub(super) fn retain(&self, listed: &BTreeSet<InstanceId>) {
        let mut entries = lock(&self.entries);
        entries.retain(|instance, entry| listed.contains(instance) || !entry.is_stored());
    }

    /// Keeps the departures that a restored table lacks, until it has them again.
    ///
    /// The node of an instance writes them again, if it runs.
    pub(super) fn restore(&self, listed: &BTreeSet<InstanceId>, now: Instant) {
        let local = &self.shared.locality.instance;
        let mut entries = lock(&self.entries);
        for (instance, entry) in &mut *entries {
            if listed.contains(instance) && entry.is_stored() {
                continue;
            }
            entry.lose(now);
            if entry.nodes.is_empty() {
                let nodes = self.choose_nodes(instance);
                if instance == local || nodes.contains_key(local) {
                    entry.nodes = nodes;
                    entry.nodes.remove(local);
                    entry.nodes.extend(self.find(instance));
                }
            }
            info!(self.shared.log, "restored store lacks departures"; "instance" => instance);
        }
        drop(entries);
        self.changed.notify_one();
    }

    /// Returns another instance with the address of its node, if it is listed.
    fn find(&self, instance: &str) -> Option<(InstanceId, SocketAddr)> {
        let directory = self.shared.directory.load_full();
        let mut nodes = directory.coordinators().iter();
        let found = nodes.find(|(node, _)| *node == instance);
        found
            .filter(|_| instance != self.shared.locality.instance)
            .cloned()
    }

    /// Sends and writes copies that the store lacks, until the returned future is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let changed = self.changed.notified();
            let due = self.take_due(Instant::now());
            for (instance, entry, Due { sends, writes }) in due {
                if sends {
                    self.send(&instance, &entry);
                }
                if writes {
                    let departures = entry.history.departures();
                    tokio::spawn(Arc::clone(&self).write(instance, departures));
                }
            }
            match self.next_due() {
                None => changed.await,
                Some(due_at) => {
                    // Without a change, what is due then is sent or written.
                    let _is_elapsed = timeout_at(due_at.into(), changed).await.is_err();
                }
            }
        }
    }

    /// Returns the entries for which something is due now.
    fn take_due(&self, now: Instant) -> Vec<(InstanceId, Entry, Due)> {
        let local = &self.shared.locality.instance;
        let mut entries = lock(&self.entries);
        let mut all_due = Vec::new();
        entries.retain(|instance, entry| {
            entry.history.remove_expired(now);
            let due = entry.take_due(instance == local, now);
            if due.sends || due.writes {
                all_due.push((instance.clone(), entry.clone(), due));
            }
            entry.history.next_expiry().is_some()
        });
        all_due
    }

    /// Returns when something is due next.
    fn next_due(&self) -> Option<Instant> {
        let local = &self.shared.locality.instance;
        let entries = lock(&self.entries);
        let due = entries.iter();
        due.filter_map(|(instance, entry)| entry.next_due(instance == local))
            .min()
    }

    /// Returns the nodes that keep a copy of the departures of an instance, by preference.
    fn choose_nodes(&self, instance: &str) -> BTreeMap<InstanceId, SocketAddr> {
        let directory = self.shared.directory.load_full();
        let nodes = directory.coordinators().iter();
        let mut others: Vec<_> = nodes.filter(|(node, _)| *node != instance).collect();
        others.sort_by_key(|(node, _)| Reverse(rendezvous_weight(node, instance)));
        others.into_iter().take(COPIES).cloned().collect()
    }

    /// Returns what this node knows of the departures of an instance.
    pub(super) fn transfer(&self, instance: &str) -> Option<Transfer> {
        let entries = lock(&self.entries);
        entries
            .get(instance)
            .map(|entry| self.to_transfer(instance, entry))
    }

    /// Returns a transfer that says that no departure of an instance is known.
    pub(super) fn empty_transfer(&self, instance: &str) -> Transfer {
        let transfer = self.to_transfer(instance, &Entry::new(Instant::now()));
        transfer.with(self.choose_nodes(instance))
    }

    fn to_transfer(&self, instance: &str, entry: &Entry) -> Transfer {
        let local = &self.shared.locality.instance;
        let mut nodes = entry.nodes.clone();
        nodes.insert(local.clone(), self.address);
        Transfer {
            sender: local.clone(),
            instance: instance.to_owned(),
            departures: entry.history.departures(),
            nodes,
        }
    }

    /// Returns the nodes that may know the departures of the local upstream: those that keep a copy,
    /// or the last one that has sent a call if no node is listed.
    pub(super) fn informed_nodes(&self) -> Vec<SocketAddr> {
        let listed = self.choose_nodes(&self.shared.locality.instance);
        if listed.is_empty() {
            let caller = self.shared.newest_version.borrow().node;
            return caller.into_iter().collect();
        }
        listed.into_values().collect()
    }

    /// Asks nodes for the departures of the local upstream, and returns what those tell that respond.
    pub(super) async fn inquire_all(
        self: &Arc<Self>,
        nodes: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<Transfer> {
        let mut inquiries = JoinSet::new();
        for node in nodes {
            inquiries.spawn(Arc::clone(self).inquire(node));
        }
        inquiries.join_all().await.into_iter().flatten().collect()
    }

    /// Asks a node for the departures of the local upstream.
    ///
    /// Returns none if it does not respond or does not know yet.
    async fn inquire(self: Arc<Self>, node: SocketAddr) -> Option<Transfer> {
        let log = &self.shared.log;
        let mut request = Request::new(empty());
        let path = Transfer::inquiry_path(&self.shared.locality.instance);
        match path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(error) => {
                warn!(log, "invalid path of an inquiry"; "path" => path, "error" => %error);
                return None;
            }
        }
        let deadline = Instant::now() + INQUIRY_TIMEOUT;
        let sent = self
            .pool
            .fetch(node, request, deadline, Transfer::MAX_BYTES);
        match sent.await {
            Ok(response) => Transfer::decode(response.body())
                .map_err(|error| {
                    warn!(log, "departures of another node cannot be decoded"; "error" => %error);
                })
                .ok(),
            Err(error) => {
                info!(log, "node does not tell departures"; "node" => %node, "error" => %error);
                None
            }
        }
    }

    /// Sends departures to the nodes that keep a copy of them, and to the node of their instance.
    fn send(self: &Arc<Self>, instance: &str, entry: &Entry) {
        let transfer = self.to_transfer(instance, entry);
        let body: Bytes = match transfer.encode() {
            Ok(body) => body.into(),
            Err(error) => {
                warn!(self.shared.log, "departures cannot be encoded"; "error" => %error);
                return;
            }
        };
        for (node, address) in &entry.nodes {
            let custodian = Arc::clone(self);
            let transfer = transfer.clone();
            tokio::spawn(custodian.send_to(node.clone(), *address, transfer, body.clone()));
        }
    }

    async fn send_to(
        self: Arc<Self>,
        node: InstanceId,
        address: SocketAddr,
        transfer: Transfer,
        body: Bytes,
    ) {
        let mut request = Request::new(full(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(Transfer::PATH);
        let deadline = Instant::now() + SEND_TIMEOUT;
        let sent = self
            .pool
            .fetch(address, request, deadline, MAX_RESPONSE_BYTES);
        if let Err(error) = sent.await {
            info!(self.shared.log, "departures not sent to a node"; "node" => &node,
                "instance" => &transfer.instance, "error" => %error);
            return;
        }
        let mut entries = lock(&self.entries);
        let Some(entry) = entries.get_mut(&transfer.instance) else {
            return;
        };
        if transfer.instance == node {
            entry.delay_write(Instant::now());
        }
        let has_all = entry.history.departures() == transfer.departures;
        drop(entries);
        if has_all && transfer.instance == self.shared.locality.instance {
            self.add_holder(node);
        }
    }

    /// Writes the departures of another instance, which its node has not written.
    async fn write(self: Arc<Self>, instance: InstanceId, departures: Vec<Departure>) {
        let log = &self.shared.log;
        if let Err(error) = self.merge_into_row(&instance, &departures).await {
            warn!(log, "write of another node's departure not confirmed"; "instance" => &instance,
                "error" => %error);
            return;
        }
        info!(log, "departures written for another node"; "instance" => &instance);
        self.observe(&instance, &departures, Instant::now());
    }

    /// Adds departures to the row of an instance, which another node may have written meanwhile.
    async fn merge_into_row(&self, instance: &str, departures: &[Departure]) -> Result<(), Error> {
        let key = row::key(instance);
        let stored = self.store.read_row(&self.table, &key).await?;
        let revision = stored.as_ref().map_or(0, |row| row.revision);
        let known = stored.and_then(|row| encoding::decode::<Row>(&row.value).ok());
        let mut merged = known.map(Row::into_departures).unwrap_or_default();
        if !Departure::merge_all(&mut merged, departures) {
            return Ok(());
        }
        let value = rmp_serde::to_vec_named(&Row::new(merged));
        let value = value.map_err(|error| Error::Unavailable {
            detail: error.to_string(),
        })?;
        self.store
            .write_row_if(&self.table, &key, revision, value.into())
            .await?;
        metrics::counter!("lentilshunt_departure_writes_total", "edit" => "copied").increment(1);
        Ok(())
    }
}

/// Returns the entry of an instance, which is created if it does not exist.
fn entry<'a>(
    entries: &'a mut BTreeMap<InstanceId, Entry>,
    instance: &str,
    now: Instant,
) -> &'a mut Entry {
    let new = || Entry::new(now);
    entries.entry(instance.to_owned()).or_insert_with(new)
}
