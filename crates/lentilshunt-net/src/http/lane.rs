//! Connections to one server.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use crossbeam_queue::ArrayQueue;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

/// Time for which an idle connection is kept.
///
/// Servers keep it for longer, also when they stop.
pub(super) const IDLE_TIME: Duration = Duration::from_secs(3);
/// Idle connections that are used first.
const HOT_CONNECTIONS: usize = 8;
/// Idle connections that are kept besides.
const COLD_CONNECTIONS: usize = 120;

/// The sending half of a client connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Connections to one server, shared by all tasks without a lock.
///
/// The connections given back last are used first, so that those which a burst
/// opened expire after it.
#[derive(Debug)]
pub(super) struct Lane {
    hot: ArrayQueue<Idle>,
    cold: ArrayQueue<Idle>,
    open: AtomicU32,
    generation: AtomicU64,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    generation: u64,
    expires_at: Instant,
}

/// A place among the open connections of a lane; it is free again when dropped.
#[derive(Debug)]
pub(super) struct Slot(Arc<Lane>);

impl Lane {
    /// Creates a lane without connections.
    pub(super) fn new() -> Self {
        Self {
            hot: ArrayQueue::new(HOT_CONNECTIONS),
            cold: ArrayQueue::new(COLD_CONNECTIONS),
            open: AtomicU32::new(0),
            generation: AtomicU64::new(0),
        }
    }

    /// Takes an idle connection that is open, trusted and not expired.
    pub(super) fn take(&self, now: Instant) -> Option<Sender> {
        while let Some(idle) = self.hot.pop().or_else(|| self.cold.pop()) {
            if self.is_usable(&idle, now) {
                return Some(idle.sender);
            }
        }
        None
    }

    /// Gives back a connection whose last answer has just arrived whole.
    pub(super) fn give_back(&self, sender: Sender, now: Instant) {
        let idle = Idle {
            sender,
            generation: self.generation.load(Ordering::Relaxed),
            expires_at: now + IDLE_TIME,
        };
        if let Some(oldest) = self.hot.force_push(idle) {
            // A full lane drops the connection, which closes it.
            drop(self.cold.push(oldest));
        }
        self.retire(now);
    }

    /// Retires every connection that is idle now.
    ///
    /// A connection that went silent tells that its idle neighbours may be
    /// forgotten between the two ends as well. It says nothing of new ones.
    pub(super) fn distrust(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes a place for a new connection, unless `limit` connections are open.
    pub(super) fn open(self: &Arc<Self>, limit: u32) -> Option<Slot> {
        let add = |open: u32| (open < limit).then_some(open + 1);
        let added = self
            .open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.is_ok().then(|| Slot(Arc::clone(self)))
    }

    /// Drops one cold connection if it is no longer usable.
    fn retire(&self, now: Instant) {
        if let Some(idle) = self.cold.pop().filter(|idle| self.is_usable(idle, now)) {
            drop(self.cold.push(idle));
        }
    }

    fn is_usable(&self, idle: &Idle, now: Instant) -> bool {
        idle.expires_at > now
            && idle.generation == self.generation.load(Ordering::Relaxed)
            && idle.sender.is_ready()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
