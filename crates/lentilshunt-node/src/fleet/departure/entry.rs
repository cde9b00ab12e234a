//! The copy of departures on one node.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    id::InstanceId,
    leaving::{Departure, History},
};

/// Time in which the store usually shows a row that the node of the instance writes.
const STORE_DELAY: Duration = Duration::from_millis(1500);
/// Interval at which a copy is sent that the store does not have.
const SEND_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a write that was not confirmed.
const WRITE_PAUSE: Duration = Duration::from_millis(800);

/// What a node knows of the departures of one instance's upstream.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Departures.
    pub(super) history: History,
    /// Nodes that keep a copy, and the node of the instance if its address is known.
    ///
    /// Empty if the departures are known from the store only.
    pub(super) nodes: BTreeMap<InstanceId, SocketAddr>,
    /// Whether the store has all departures, as far as this node knows.
    is_stored: bool,
    /// Whether the other nodes need not be told of departures that the store has.
    is_sent: bool,
    /// When the departures are sent to the other nodes next.
    send_at: Instant,
    /// When this node writes them for the node of the instance.
    write_at: Instant,
}

/// What is due for an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Due {
    /// The departures are sent to the other nodes.
    pub(super) sends: bool,
    /// The departures are written for the node of the instance.
    pub(super) writes: bool,
}

impl Entry {
    /// Creates an entry without departures.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            history: History::default(),
            nodes: BTreeMap::new(),
            is_stored: true,
            is_sent: true,
            send_at: now,
            write_at: now,
        }
    }

    /// Records departures of the local upstream, and returns whether they are new.
    pub(super) fn record_own(&mut self, departures: &[Departure], now: Instant) -> bool {
        let is_new = self.history.record_all(departures, now);
        if is_new {
            self.is_stored = false;
        }
        is_new
    }

    /// Sends the departures of the local upstream now, also if the store has them.
    pub(super) fn send_own(&mut self, now: Instant) {
        self.is_sent = false;
        self.send_at = now;
    }

    /// Records departures that another node has sent, and returns whether they are new.
    ///
    /// The store usually has them soon.
    pub(super) fn record_received(&mut self, departures: &[Departure], now: Instant) -> bool {
        let is_new = self.history.record_all(departures, now);
        if is_new {
            self.lose(now);
        }
        is_new
    }

    /// Records departures that the store has.
    pub(super) fn record_stored(&mut self, departures: &[Departure], now: Instant) {
        self.history.record_all(departures, now);
        let mut known = self.history.departures().into_iter();
        self.is_stored = known.all(|departure| departure.is_among(departures));
    }

    /// Records that the store lacks departures, which the node of the instance usually writes soon.
    pub(super) fn lose(&mut self, now: Instant) {
        self.is_stored = false;
        self.send_at = now + STORE_DELAY;
        self.write_at = now + STORE_DELAY;
    }

    /// Returns whether the store has all departures, as far as this node knows.
    pub(super) fn is_stored(&self) -> bool {
        self.is_stored
    }

    /// Leaves writing to the node of the instance, which has responded.
    pub(super) fn delay_write(&mut self, now: Instant) {
        self.write_at = now + STORE_DELAY;
    }

    /// Returns what is due now, which is due again after a pause.
    pub(super) fn take_due(&mut self, is_own: bool, now: Instant) -> Due {
        let due = Due {
            sends: self.is_pending() && self.send_at <= now,
            writes: !is_own && !self.is_stored && self.is_pending() && self.write_at <= now,
        };
        if due.sends {
            self.is_sent = true;
            self.send_at = now + SEND_INTERVAL;
        }
        if due.writes {
            self.write_at = now + WRITE_PAUSE;
        }
        due
    }

    /// Returns when something is due next, or `None` if that depends on a change.
    pub(super) fn next_due(&self, is_own: bool) -> Option<Instant> {
        let write_at = (!is_own && !self.is_stored).then_some(self.write_at);
        let times = [Some(self.send_at), write_at].into_iter().flatten();
        times.min().filter(|_| self.is_pending())
    }

    fn is_pending(&self) -> bool {
        let is_done = self.is_stored && self.is_sent;
        !is_done && !self.nodes.is_empty()
    }
}
