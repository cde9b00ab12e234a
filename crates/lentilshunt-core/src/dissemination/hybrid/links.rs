//! State of the exchanges with other failure domains and regions.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    dissemination::jitter::Backoff,
    id::{DomainId, RegionId, VersionId},
};

/// First bound of the pause after a failed exchange.
const RETRY_FIRST: Duration = Duration::from_millis(300);
/// Largest pause after a failed exchange.
const RETRY_CAP: Duration = Duration::from_secs(2);

/// The other end of a link.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Target {
    /// Another failure domain of the own region.
    Domain(DomainId),
    /// Another region.
    Region(RegionId),
}

/// Exchanges with one target, while this node is the relay.
#[derive(Debug)]
pub(super) struct Link {
    /// Number of the last change that the target confirmed.
    pub(super) sent: u64,
    /// Number of the last change of room that the target confirmed.
    pub(super) read: u64,
    /// Version that the target was last told.
    pub(super) version: VersionId,
    /// Instant at which changes are to be sent.
    pub(super) due: Option<Instant>,
    /// Instant at which changes of room may be sent.
    pub(super) read_due: Instant,
    /// Instant at which views are compared.
    pub(super) sync_due: Instant,
    /// Message that waits for its answer.
    pub(super) sending: Option<Sending>,
    /// Failures since the last answer.
    pub(super) backoff: Backoff,
}

/// A message of a link that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Sending {
    pub(super) to: SocketAddr,
    pub(super) domain: DomainId,
    pub(super) sent: u64,
    pub(super) read: u64,
    pub(super) expires_at: Instant,
}

impl Link {
    pub(super) fn new(now: Instant, counter: u64) -> Self {
        Self {
            sent: counter,
            read: counter,
            version: 0,
            due: None,
            read_due: now,
            sync_due: now,
            sending: None,
            backoff: Backoff::new(RETRY_FIRST, RETRY_CAP),
        }
    }

    pub(super) fn due_by(&mut self, at: Instant) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    fn deadline(&self) -> Instant {
        if let Some(sending) = &self.sending {
            return sending.expires_at;
        }
        let due = self.sync_due.min(self.read_due);
        self.due.map_or(due, |at| at.min(due))
    }
}

/// Attempts to reach a failure domain that does not answer.
#[derive(Debug)]
pub(super) struct Contact {
    /// Failed exchanges since the last success.
    pub(super) failures: usize,
    /// Instant of the next attempt.
    pub(super) retry_due: Instant,
    /// Address that was tried last.
    pub(super) trying: Option<SocketAddr>,
    /// Pause between attempts.
    pub(super) backoff: Backoff,
}

impl Contact {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            retry_due: now,
            trying: None,
            backoff: Backoff::new(RETRY_FIRST, RETRY_CAP),
        }
    }
}

/// All links of a node.
#[derive(Debug, Default)]
pub(super) struct Links {
    pub(super) active: BTreeMap<Target, Link>,
    pub(super) contacts: BTreeMap<DomainId, Contact>,
    /// Failure domains that this node tries to reach again.
    pub(super) lost: Vec<DomainId>,
}

impl Links {
    pub(super) fn deadline(&self) -> Option<Instant> {
        let links = self.active.values().map(Link::deadline);
        let lost = self
            .lost
            .iter()
            .filter_map(|domain| self.contacts.get(domain));
        links.chain(lost.map(|contact| contact.retry_due)).min()
    }
}
