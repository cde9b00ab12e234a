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

/// Initial upper bound of the pause after a failed exchange.
const RETRY_BACKOFF_BASE: Duration = Duration::from_millis(300);
/// Longest pause after a failed exchange.
const RETRY_BACKOFF_CAP: Duration = Duration::from_secs(2);

/// The other end of a link.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Target {
    /// Another failure domain of the local region.
    Domain(DomainId),
    /// Another region.
    Region(RegionId),
}

/// State of the exchanges with one target, while this node is the relay.
#[derive(Debug)]
pub(super) struct Link {
    /// Number of the last change that the target confirmed.
    pub(super) confirmed_change_number: u64,
    /// Number of the last change of free slots that the target confirmed.
    pub(super) confirmed_free_slots_change_number: u64,
    /// Installed version that the last message to the target reported; 0 after a failure.
    pub(super) reported_version: VersionId,
    /// Instant at which changes are to be sent, if any are.
    pub(super) changes_due: Option<Instant>,
    /// Instant from which changes of free slots are sent.
    pub(super) free_slots_due: Instant,
    /// Instant of the next synchronization.
    pub(super) sync_due: Instant,
    /// Message that waits for its response.
    pub(super) pending: Option<PendingExchange>,
    /// Pause after failed exchanges.
    pub(super) backoff: Backoff,
}

/// A message of a link that waits for its response, and the changes that the response confirms.
#[derive(Clone, Debug)]
pub(super) struct PendingExchange {
    pub(super) to: SocketAddr,
    pub(super) domain: DomainId,
    pub(super) change_number: u64,
    pub(super) free_slots_change_number: u64,
    pub(super) expires_at: Instant,
}

impl Link {
    pub(super) fn new(now: Instant, last_change_number: u64) -> Self {
        Self {
            confirmed_change_number: last_change_number,
            confirmed_free_slots_change_number: last_change_number,
            reported_version: 0,
            changes_due: None,
            free_slots_due: now,
            sync_due: now,
            pending: None,
            backoff: Backoff::new(RETRY_BACKOFF_BASE, RETRY_BACKOFF_CAP),
        }
    }

    pub(super) fn schedule_no_later_than(&mut self, at: Instant) {
        self.changes_due = Some(self.changes_due.map_or(at, |due| due.min(at)));
    }

    fn deadline(&self) -> Instant {
        if let Some(pending) = &self.pending {
            return pending.expires_at;
        }
        let due = self.sync_due.min(self.free_slots_due);
        self.changes_due.map_or(due, |at| at.min(due))
    }
}

/// Failed exchanges with a failure domain, and the attempts to reach it again.
#[derive(Debug)]
pub(super) struct DomainRetry {
    /// Failed exchanges since the last success.
    pub(super) failed_exchanges: usize,
    /// Instant of the next attempt.
    pub(super) retry_due: Instant,
    /// Address of the attempt that waits for a response.
    pub(super) pending_address: Option<SocketAddr>,
    /// Pause between attempts.
    pub(super) backoff: Backoff,
}

impl DomainRetry {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            failed_exchanges: 0,
            retry_due: now,
            pending_address: None,
            backoff: Backoff::new(RETRY_BACKOFF_BASE, RETRY_BACKOFF_CAP),
        }
    }
}

/// Links of a node, and retries of failure domains that do not respond.
#[derive(Debug, Default)]
pub(super) struct Links {
    pub(super) by_target: BTreeMap<Target, Link>,
    pub(super) retries: BTreeMap<DomainId, DomainRetry>,
    /// Unreachable failure domains that this node is responsible for retrying.
    pub(super) unreachable: Vec<DomainId>,
}

impl Links {
    pub(super) fn deadline(&self) -> Option<Instant> {
        let links = self.by_target.values().map(Link::deadline);
        let unreachable = self
            .unreachable
            .iter()
            .filter_map(|domain| self.retries.get(domain));
        links.chain(unreachable.map(|retry| retry.retry_due)).min()
    }
}
