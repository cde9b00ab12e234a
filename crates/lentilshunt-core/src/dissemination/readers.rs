//! Choice of the node through which the store is read.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::id::InstanceId;

/// Number of nodes of a failure domain that may read the store for the others.
///
/// The others poll the store themselves only while none of these has recent data, so that an
/// outage of the store does not let all nodes of a large fleet call it over and over.
const MAX_READERS: usize = 3;
/// Time for which no requests are sent to a reader after one failed.
const READER_COOLDOWN: Duration = Duration::from_secs(3);
/// Time for which a node that is no reader does not poll the store after its poll failed.
const STORE_COOLDOWN: Duration = Duration::from_secs(2);
/// Maximum number of times that [`STORE_COOLDOWN`] doubles while polls keep failing.
const MAX_DOUBLINGS: u32 = 2;

/// Where a node gets the next changes of a table from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// From another node that reads the store.
    Reader(SocketAddr),
    /// From the store.
    Store,
    /// From nowhere before the given instant.
    Wait(Instant),
}

/// Failed readers, and tables that the store has failed to deliver.
#[derive(Clone, Debug, Default)]
pub struct Readers {
    cooldowns: HashMap<SocketAddr, Instant>,
    /// Failed polls of the store by table.
    failed_polls: HashMap<String, FailedPolls>,
}

/// Failed polls of the store since one succeeded.
#[derive(Clone, Copy, Debug)]
struct FailedPolls {
    count: u32,
    cooldown_ends_at: Instant,
}

impl Readers {
    /// Returns where a node gets the next changes of a table from.
    ///
    /// `candidates` are the nodes of its failure domain in the order in which they are chosen as
    /// reader. Without candidates, each node polls the store.
    #[must_use]
    pub fn source(
        &self,
        candidates: &[(InstanceId, SocketAddr)],
        local: &str,
        table: &str,
        now: Instant,
    ) -> Source {
        if candidates.is_empty() {
            return Source::Store;
        }
        let readers = &candidates[..candidates.len().min(MAX_READERS)];
        let mut available = readers
            .iter()
            .filter(|(_, address)| self.cooldown_ends_at(*address, now).is_none());
        match available.next() {
            Some((instance, _)) if instance == local => return Source::Store,
            Some((_, address)) => return Source::Reader(*address),
            None => {}
        }
        let is_reader = readers.iter().any(|(instance, _)| instance == local);
        if is_reader || self.may_poll_store(table, now) {
            return Source::Store;
        }
        let cooldowns = readers
            .iter()
            .filter_map(|(_, address)| self.cooldown_ends_at(*address, now));
        let store = self.failed_polls.get(table);
        let ends = cooldowns.chain(store.map(|failed| failed.cooldown_ends_at));
        ends.min().map_or(Source::Store, Source::Wait)
    }

    /// Returns whether a node that is no reader may poll the store for a table.
    #[must_use]
    pub fn may_poll_store(&self, table: &str, now: Instant) -> bool {
        let failed = self.failed_polls.get(table);
        failed.is_none_or(|failed| failed.cooldown_ends_at <= now)
    }

    /// Records that a reader has not responded or has no recent data.
    pub fn record_lost_reader(&mut self, reader: SocketAddr, now: Instant) {
        self.cooldowns.retain(|_, ends_at| *ends_at > now);
        self.cooldowns.insert(reader, now + READER_COOLDOWN);
    }

    /// Records that the store has responded to a poll or a read of a table, also if it no longer
    /// keeps the requested changes.
    pub fn record_response(&mut self, table: &str) {
        self.failed_polls.remove(table);
    }

    /// Records that a poll of a table has failed; `random` is a number from 0 to 1.
    pub fn record_failed_poll(&mut self, table: &str, random: f64, now: Instant) {
        let count = self
            .failed_polls
            .get(table)
            .map_or(0, |failed| failed.count);
        let cooldown = STORE_COOLDOWN * 2_u32.pow(count.min(MAX_DOUBLINGS));
        let failed = FailedPolls {
            count: count + 1,
            // Nodes that failed together do not return together.
            cooldown_ends_at: now + cooldown.mul_f64(0.5 + random),
        };
        self.failed_polls.insert(table.to_owned(), failed);
    }

    fn cooldown_ends_at(&self, reader: SocketAddr, now: Instant) -> Option<Instant> {
        let ends_at = self.cooldowns.get(&reader).copied();
        ends_at.filter(|ends_at| *ends_at > now)
    }
}
