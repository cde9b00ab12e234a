//! Idle connections to one server.

use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam_queue::ArrayQueue;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

/// Time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Idle connections that are kept for one server.
const IDLE_CONNECTIONS: usize = 120;

/// The sending half of a client connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Idle connections to one server, shared by all tasks without a lock.
#[derive(Debug)]
pub(super) struct Lane {
    idle: ArrayQueue<Idle>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    expires_at: Instant,
}

impl Lane {
    /// Creates a lane without connections.
    pub(super) fn new() -> Self {
        Self {
            idle: ArrayQueue::new(IDLE_CONNECTIONS),
        }
    }

    /// Takes a connection that is open and not expired.
    pub(super) fn take(&self, now: Instant) -> Option<Sender> {
        while let Some(idle) = self.idle.pop() {
            if idle.expires_at > now && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }

    /// Gives back a connection whose last answer has arrived whole.
    pub(super) fn give_back(&self, sender: Sender, now: Instant) {
        let idle = Idle {
            sender,
            expires_at: now + IDLE_TIME,
        };
        // A full lane drops the connection, which closes it.
        drop(self.idle.push(idle));
    }
}
