//! Sends changes to other failure domains and regions, and tracks which of them respond.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_schema::peer::{Delta, Reachability};

use super::{
    core::Hybrid,
    links::{DomainRetry, Link, PendingExchange, Target},
    variant::Scope,
};
use crate::{dissemination::jitter::jitter, id::DomainId, membership::to_update};

/// Longest time for which a change is batched with others for a failure domain.
const DOMAIN_BATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest time for which a change is batched with others for a region.
const REGION_BATCH_DELAY: Duration = Duration::from_millis(150);
/// Mean time between two updates of free slots to a failure domain.
const DOMAIN_FREE_SLOTS_INTERVAL: Duration = Duration::from_secs(5);
/// Mean time between two updates of free slots to a region.
const REGION_FREE_SLOTS_INTERVAL: Duration = Duration::from_secs(15);
/// Mean time between two synchronizations over a link.
const LINK_SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Failed exchanges, each with another node, after which a failure domain counts as unreachable.
///
/// A domain with fewer nodes counts as unreachable after one failure per node.
const UNREACHABLE_AFTER_FAILURES: usize = 2;

impl Hybrid {
    /// Updates the links to the targets for which this node is the relay.
    pub(super) fn update_links(&mut self, now: Instant) {
        if self.variant.scope == Scope::Fleet {
            return;
        }
        let targets = self.relay_targets();
        self.links
            .by_target
            .retain(|target, _| targets.contains(target));
        let last_change_number = self.member_list.last_change_number();
        for target in targets {
            let link = self.links.by_target.entry(target);
            link.or_insert_with(|| Link::new(now, last_change_number));
        }
        let unreachable = self.domain_regions.keys().filter(|domain| {
            self.reachability
                .last_stated_reachable(&self.domain, domain)
                == Some(false)
                && self.is_relay(domain)
        });
        self.links.unreachable = unreachable.cloned().collect();
        for domain in &self.links.unreachable {
            let retry = self.links.retries.entry(domain.clone());
            retry.or_insert_with(|| DomainRetry::new(now));
        }
    }

    /// Schedules changes for all targets after the batch delay.
    pub(super) fn schedule_links(&mut self, now: Instant) {
        for (target, link) in &mut self.links.by_target {
            let delay = match target {
                Target::Domain(_) => DOMAIN_BATCH_DELAY,
                Target::Region(_) => REGION_BATCH_DELAY,
            };
            link.schedule_no_later_than(now + delay);
        }
    }

    /// Schedules changes for all targets without a delay.
    pub(super) fn schedule_links_now(&mut self, now: Instant) {
        for link in self.links.by_target.values_mut() {
            link.schedule_no_later_than(now);
        }
    }

    pub(super) fn handle_link_timer(&mut self, now: Instant) {
        let expired: Vec<SocketAddr> = self
            .links
            .by_target
            .values()
            .filter_map(|link| link.pending.as_ref())
            .filter(|pending| pending.expires_at <= now)
            .map(|pending| pending.to)
            .collect();
        for to in expired {
            self.fail_link_exchange(now, to);
        }
        let targets: Vec<Target> = self.links.by_target.keys().cloned().collect();
        for target in targets {
            self.send_due(now, &target);
        }
        self.retry_unreachable_domains(now);
    }

    /// Completes the exchanges with a node after any message from it.
    pub(super) fn complete_link_exchange(&mut self, now: Instant, from: SocketAddr) {
        let mut responded = None;
        for link in self.links.by_target.values_mut() {
            let Some(pending) = link.pending.take_if(|pending| pending.to == from) else {
                continue;
            };
            link.confirmed_change_number = pending.change_number;
            link.confirmed_free_slots_change_number = pending.free_slots_change_number;
            link.backoff.reset();
            responded = Some(pending.domain);
        }
        for (domain, retry) in &mut self.links.retries {
            if retry
                .pending_address
                .take_if(|address| *address == from)
                .is_some()
            {
                responded = Some(domain.clone());
            }
        }
        if let Some(domain) = responded {
            self.record_domain_success(now, &domain);
        } else if let Some(domain) = self.domain_at_address(from) {
            // A message from an unreachable domain suggests that it is back.
            if let Some(retry) = self.links.retries.get_mut(&domain) {
                retry.retry_due = retry.retry_due.min(now);
            }
        }
    }

    /// Fails the exchanges with a node that a message did not reach or that did not respond in
    /// time.
    pub(super) fn fail_link_exchange(&mut self, now: Instant, to: SocketAddr) {
        let mut failed = None;
        for link in self.links.by_target.values_mut() {
            let Some(pending) = link.pending.take_if(|pending| pending.to == to) else {
                continue;
            };
            let pause = link.backoff.next_pause(&mut self.random);
            link.reported_version = 0;
            link.changes_due = Some(now + pause);
            link.sync_due = link.sync_due.min(now + pause);
            failed = Some(pending.domain);
        }
        for retry in self.links.retries.values_mut() {
            if retry
                .pending_address
                .take_if(|address| *address == to)
                .is_some()
            {
                let pause = retry.backoff.next_pause(&mut self.random);
                retry.retry_due = now + pause;
            }
        }
        if let Some(domain) = failed {
            self.record_domain_failure(now, &domain);
        }
    }

    /// Returns the failure domain of the node at an address, if that node is known.
    fn domain_at_address(&self, address: SocketAddr) -> Option<DomainId> {
        let member = self.member_list.get_by_address(address)?;
        Some(member.entry.record.domain.clone())
    }

    /// Counts a failed exchange, and after [`UNREACHABLE_AFTER_FAILURES`] publishes that the domain
    /// is unreachable.
    fn record_domain_failure(&mut self, now: Instant, domain: &str) {
        let nodes = self.candidate_addresses(domain).len();
        let retry = self.links.retries.entry(domain.to_owned());
        let retry = retry.or_insert_with(|| DomainRetry::new(now));
        retry.failed_exchanges += 1;
        if retry.failed_exchanges >= UNREACHABLE_AFTER_FAILURES.min(nodes.max(1)) {
            let pause = retry.backoff.next_pause(&mut self.random);
            retry.retry_due = now + pause;
            self.set_reachability(now, domain, false);
        }
    }

    fn record_domain_success(&mut self, now: Instant, domain: &str) {
        self.links.retries.remove(domain);
        self.set_reachability(now, domain, true);
    }

    /// Publishes the reachability of a failure domain if it differs from the last statement.
    fn set_reachability(&mut self, now: Instant, domain: &str, reachable: bool) {
        let Some(reachability) = self
            .reachability
            .next_statement(&self.domain, domain, reachable)
        else {
            return;
        };
        self.merge_reachability(reachability.clone());
        self.queue_reachability(now, reachability);
        self.update_links(now);
        if reachable {
            // Gateways depend on reachability, so any link may carry other changes from now on.
            for link in self.links.by_target.values_mut() {
                link.sync_due = now;
            }
        }
    }

    fn retry_unreachable_domains(&mut self, now: Instant) {
        for domain in self.links.unreachable.clone() {
            let candidates = self.candidate_addresses(&domain);
            let Some(retry) = self.links.retries.get_mut(&domain) else {
                continue;
            };
            if retry.retry_due > now || candidates.is_empty() {
                continue;
            }
            let attempts = usize::try_from(retry.backoff.attempts()).unwrap_or(0);
            let to = candidates[attempts % candidates.len()];
            retry.pending_address = Some(to);
            retry.retry_due = now + RESPONSE_TIMEOUT;
            self.send_sync(to);
        }
    }

    /// Synchronizes or sends changes over one link, whichever is due.
    fn send_due(&mut self, now: Instant, target: &Target) {
        let Some(link) = self.links.by_target.get(target) else {
            return;
        };
        if link.pending.is_some() {
            return;
        }
        let are_changes_due = link.changes_due.is_some_and(|due| due <= now);
        let is_sync_due = link.sync_due <= now;
        let are_free_slots_due = link.free_slots_due <= now;
        if !are_changes_due && !is_sync_due && !are_free_slots_due {
            return;
        }
        // A new relay has to synchronize first, as it sends only changes from then on.
        if is_sync_due {
            self.sync_link(now, target);
        } else {
            self.send_changes(now, target, are_free_slots_due);
        }
    }

    fn sync_link(&mut self, now: Instant, target: &Target) {
        let pause = jitter(&mut self.random, LINK_SYNC_INTERVAL);
        let destination = self.link_destination(target);
        let Some(link) = self.links.by_target.get_mut(target) else {
            return;
        };
        link.sync_due = now + pause;
        let confirmed = (
            link.confirmed_change_number,
            link.confirmed_free_slots_change_number,
        );
        if let Some(destination) = destination {
            self.send_sync(destination.1);
            self.record_pending(now, target, destination, confirmed);
        }
    }

    fn send_changes(&mut self, now: Instant, target: &Target, with_free_slots: bool) {
        let interval = match target {
            Target::Domain(_) => DOMAIN_FREE_SLOTS_INTERVAL,
            Target::Region(_) => REGION_FREE_SLOTS_INTERVAL,
        };
        let pause = jitter(&mut self.random, interval);
        let destination = self.link_destination(target);
        let delta = self.changes_for(target, with_free_slots);
        let is_empty =
            delta.entries.is_empty() && delta.updates.is_empty() && delta.reaches.is_empty();
        let installed = self.replica.installed_version();
        let last_change_number = self.member_list.last_change_number();
        let Some(link) = self.links.by_target.get_mut(target) else {
            return;
        };
        link.changes_due = None;
        if with_free_slots {
            link.free_slots_due = now + pause;
        }
        let Some(destination) = destination else {
            return;
        };
        if is_empty && link.reported_version == installed {
            link.confirmed_change_number = last_change_number;
            return;
        }
        let free_slots_change_number = if with_free_slots {
            last_change_number
        } else {
            link.confirmed_free_slots_change_number
        };
        self.send(destination.1, delta);
        self.record_pending(
            now,
            target,
            destination,
            (last_change_number, free_slots_change_number),
        );
    }

    fn record_pending(
        &mut self,
        now: Instant,
        target: &Target,
        (domain, to): (DomainId, SocketAddr),
        (change_number, free_slots_change_number): (u64, u64),
    ) {
        let version = self.replica.installed_version();
        if let Some(link) = self.links.by_target.get_mut(target) {
            link.reported_version = version;
            link.pending = Some(PendingExchange {
                to,
                domain,
                change_number,
                free_slots_change_number,
                expires_at: now + RESPONSE_TIMEOUT,
            });
        }
    }

    /// Returns the changes that a target has not confirmed.
    fn changes_for(&self, target: &Target, with_free_slots: bool) -> Delta {
        let mut delta = Delta {
            entries: Vec::new(),
            updates: Vec::new(),
            reaches: Vec::new(),
            wanted: Vec::new(),
        };
        let Some(link) = self.links.by_target.get(target) else {
            return delta;
        };
        let gateways = self.gateway_domains();
        for member in self.member_list.iter() {
            let record = &member.entry.record;
            if !self.is_relayed_to(target, &record.domain, &record.region, &gateways) {
                continue;
            }
            if member.base_change_number > link.confirmed_change_number {
                delta.entries.push(member.entry.clone());
            } else if member.stamp_change_number > link.confirmed_change_number
                || with_free_slots
                    && member.last_change_number > link.confirmed_free_slots_change_number
            {
                delta.updates.push(to_update(&member.entry));
            }
        }
        let is_relayed = |reachability: &Reachability| {
            let region = self.domain_regions.get(&reachability.observer);
            region.is_some_and(|region| {
                self.is_relayed_to(target, &reachability.observer, region, &gateways)
            })
        };
        let reaches = self
            .reachability
            .since(link.confirmed_change_number)
            .into_iter();
        delta.reaches = reaches.filter(is_relayed).collect();
        delta
    }
}
