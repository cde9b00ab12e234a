//! Idle and open connections to one server.

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

/// Time after which a client drops an idle connection.
///
/// Servers keep idle connections for longer, also while they shut down.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of idle connections that are reused first.
const MAX_HOT_CONNECTIONS: usize = 8;
/// Maximum number of further idle connections.
const MAX_COLD_CONNECTIONS: usize = 120;

/// The sending half of a client connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Connections to one server, shared by all tasks without a lock.
///
/// The most recently returned connections are reused first, so that connections
/// opened by a burst expire after it.
#[derive(Debug)]
pub(super) struct Connections {
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

/// Permit for one open connection, released when it is dropped.
#[derive(Debug)]
pub(super) struct Permit(Arc<Connections>);

impl Connections {
    /// Creates a set without connections.
    pub(super) fn new() -> Self {
        Self {
            hot: ArrayQueue::new(MAX_HOT_CONNECTIONS),
            cold: ArrayQueue::new(MAX_COLD_CONNECTIONS),
            open: AtomicU32::new(0),
            generation: AtomicU64::new(0),
        }
    }

    /// Removes and returns an idle connection that is open, valid and not expired.
    pub(super) fn pop_idle(&self, now: Instant) -> Option<Sender> {
        while let Some(idle) = self.hot.pop().or_else(|| self.cold.pop()) {
            if self.is_usable(&idle, now) {
                return Some(idle.sender);
            }
        }
        None
    }

    /// Adds an idle connection whose last response has just arrived completely.
    pub(super) fn push_idle(&self, sender: Sender, now: Instant) {
        let idle = Idle {
            sender,
            generation: self.generation.load(Ordering::Relaxed),
            expires_at: now + IDLE_TIMEOUT,
        };
        if let Some(oldest) = self.hot.force_push(idle) {
            // When the queue is full, the connection is dropped, which closes it.
            drop(self.cold.push(oldest));
        }
        self.evict_unusable(now);
    }

    /// Invalidates every connection that is idle now.
    ///
    /// When one connection stops responding, the path between the two ends may
    /// have lost the state of the other idle connections as well. New connections
    /// are not affected.
    pub(super) fn invalidate_idle(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Acquires a permit for a new connection, unless `limit` connections are open.
    pub(super) fn try_acquire(self: &Arc<Self>, limit: u32) -> Option<Permit> {
        let add = |open: u32| (open < limit).then_some(open + 1);
        let added = self
            .open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.is_ok().then(|| Permit(Arc::clone(self)))
    }

    /// Drops one cold connection if it is no longer usable.
    fn evict_unusable(&self, now: Instant) {
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

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
