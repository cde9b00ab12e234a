//! Exchanges changes with other failure domains and regions.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_schema::peer::{Delta, Reachability};

use super::{
    core::Hybrid,
    links::{Contact, Link, Sending, Target},
    variant::Scope,
};
use crate::{dissemination::jitter::jitter, id::DomainId, membership::to_update};

/// Longest wait of a change for others on the way to a failure domain.
const DOMAIN_DELAY: Duration = Duration::from_millis(50);
/// Longest wait of a change for others on the way to a region.
const REGION_DELAY: Duration = Duration::from_millis(150);
/// Time between two changes of room on the way to a failure domain.
const DOMAIN_ROOM_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two changes of room on the way to a region.
const REGION_ROOM_INTERVAL: Duration = Duration::from_secs(15);
/// Time between two comparisons of views over a link.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Nodes of a failure domain that must fail before it is unreachable as a whole.
const FAILURES: usize = 2;

impl Hybrid {
    /// Chooses the targets for which this node is the relay.
    pub(super) fn choose_links(&mut self, now: Instant) {
        if self.variant.scope == Scope::Fleet {
            return;
        }
        let targets = self.targets();
        self.links
            .active
            .retain(|target, _| targets.contains(target));
        let counter = self.member_list.last_change_number();
        for target in targets {
            let link = self.links.active.entry(target);
            link.or_insert_with(|| Link::new(now, counter));
        }
        let lost = self.regions.keys().filter(|domain| {
            self.reaches.said(&self.domain, domain) == Some(false) && self.is_relay(domain)
        });
        self.links.lost = lost.cloned().collect();
        for domain in &self.links.lost {
            let contact = self.links.contacts.entry(domain.clone());
            contact.or_insert_with(|| Contact::new(now));
        }
    }

    /// Has changes sent to all targets soon.
    pub(super) fn link_later(&mut self, now: Instant) {
        for (target, link) in &mut self.links.active {
            let delay = match target {
                Target::Domain(_) => DOMAIN_DELAY,
                Target::Region(_) => REGION_DELAY,
            };
            link.due_by(now + delay);
        }
    }

    /// Has changes sent to all targets at once.
    pub(super) fn link_now(&mut self, now: Instant) {
        for link in self.links.active.values_mut() {
            link.due_by(now);
        }
    }

    pub(super) fn link_timer(&mut self, now: Instant) {
        let expired: Vec<SocketAddr> = self
            .links
            .active
            .values()
            .filter_map(|link| link.sending.as_ref())
            .filter(|sending| sending.expires_at <= now)
            .map(|sending| sending.to)
            .collect();
        for to in expired {
            self.link_lost(now, to);
        }
        let targets: Vec<Target> = self.links.active.keys().cloned().collect();
        for target in targets {
            self.serve(now, &target);
        }
        self.retry_lost(now);
    }

    /// Notes that a node answered.
    pub(super) fn link_heard(&mut self, now: Instant, from: SocketAddr) {
        let mut answered = None;
        for link in self.links.active.values_mut() {
            let Some(sending) = link.sending.take_if(|sending| sending.to == from) else {
                continue;
            };
            link.sent = sending.sent;
            link.read = sending.read;
            link.backoff.succeed();
            answered = Some(sending.domain);
        }
        for (domain, contact) in &mut self.links.contacts {
            if contact.trying.take_if(|trying| *trying == from).is_some() {
                answered = Some(domain.clone());
            }
        }
        if let Some(domain) = answered {
            self.reached(now, &domain);
        } else if let Some(domain) = self.domain_at(from) {
            // A domain that speaks again is tried at once.
            if let Some(contact) = self.links.contacts.get_mut(&domain) {
                contact.retry_due = contact.retry_due.min(now);
            }
        }
    }

    /// Notes that a message could not be delivered.
    pub(super) fn link_lost(&mut self, now: Instant, to: SocketAddr) {
        let mut failed = None;
        for link in self.links.active.values_mut() {
            let Some(sending) = link.sending.take_if(|sending| sending.to == to) else {
                continue;
            };
            let pause = link.backoff.fail(&mut self.random);
            link.version = 0;
            link.due = Some(now + pause);
            link.sync_due = link.sync_due.min(now + pause);
            failed = Some(sending.domain);
        }
        for contact in self.links.contacts.values_mut() {
            if contact.trying.take_if(|trying| *trying == to).is_some() {
                let pause = contact.backoff.fail(&mut self.random);
                contact.retry_due = now + pause;
            }
        }
        if let Some(domain) = failed {
            self.missed(now, &domain);
        }
    }

    fn domain_at(&self, address: SocketAddr) -> Option<DomainId> {
        let member = self.member_list.get_by_address(address)?;
        Some(member.entry.record.domain.clone())
    }

    fn missed(&mut self, now: Instant, domain: &str) {
        let nodes = self.candidates(domain).len();
        let contact = self.links.contacts.entry(domain.to_owned());
        let contact = contact.or_insert_with(|| Contact::new(now));
        contact.failures += 1;
        if contact.failures >= FAILURES.min(nodes.max(1)) {
            let pause = contact.backoff.fail(&mut self.random);
            contact.retry_due = now + pause;
            self.state(now, domain, false);
        }
    }

    fn reached(&mut self, now: Instant, domain: &str) {
        self.links.contacts.remove(domain);
        self.state(now, domain, true);
    }

    fn state(&mut self, now: Instant, domain: &str, reachable: bool) {
        let Some(reach) = self.reaches.next(&self.domain, domain, reachable) else {
            return;
        };
        self.learn_reach(reach.clone());
        self.push_reach_later(now, reach);
        self.choose_links(now);
        if reachable {
            for link in self.links.active.values_mut() {
                link.sync_due = now;
            }
        }
    }

    fn retry_lost(&mut self, now: Instant) {
        for domain in self.links.lost.clone() {
            let candidates = self.candidates(&domain);
            let Some(contact) = self.links.contacts.get_mut(&domain) else {
                continue;
            };
            if contact.retry_due > now || candidates.is_empty() {
                continue;
            }
            let attempts = usize::try_from(contact.backoff.attempts()).unwrap_or(0);
            let to = candidates[attempts % candidates.len()];
            contact.trying = Some(to);
            contact.retry_due = now + ANSWER_TIMEOUT;
            self.send_sync(to);
        }
    }

    /// Sends on one link what is due.
    fn serve(&mut self, now: Instant, target: &Target) {
        let Some(link) = self.links.active.get(target) else {
            return;
        };
        if link.sending.is_some() {
            return;
        }
        let is_due = link.due.is_some_and(|due| due <= now);
        let is_sync = link.sync_due <= now;
        let is_read = link.read_due <= now;
        if !is_due && !is_sync && !is_read {
            return;
        }
        // A new relay must compare views before it sends what changes from then on.
        if is_sync {
            self.compare(now, target);
        } else {
            self.send_changes(now, target, is_read);
        }
    }

    fn compare(&mut self, now: Instant, target: &Target) {
        let pause = jitter(&mut self.random, SYNC_INTERVAL);
        let destination = self.destination(target);
        let Some(link) = self.links.active.get_mut(target) else {
            return;
        };
        link.sync_due = now + pause;
        let confirmed = (link.sent, link.read);
        if let Some(destination) = destination {
            self.send_sync(destination.1);
            self.sending(now, target, destination, confirmed);
        }
    }

    fn send_changes(&mut self, now: Instant, target: &Target, with_room: bool) {
        let interval = match target {
            Target::Domain(_) => DOMAIN_ROOM_INTERVAL,
            Target::Region(_) => REGION_ROOM_INTERVAL,
        };
        let pause = jitter(&mut self.random, interval);
        let destination = self.destination(target);
        let delta = self.changes(target, with_room);
        let is_empty =
            delta.entries.is_empty() && delta.updates.is_empty() && delta.reaches.is_empty();
        let installed = self.replica.installed_version();
        let counter = self.member_list.last_change_number();
        let Some(link) = self.links.active.get_mut(target) else {
            return;
        };
        link.due = None;
        if with_room {
            link.read_due = now + pause;
        }
        let Some(destination) = destination else {
            return;
        };
        if is_empty && link.version == installed {
            link.sent = counter;
            return;
        }
        let read = if with_room { counter } else { link.read };
        self.send(destination.1, delta);
        self.sending(now, target, destination, (counter, read));
    }

    fn sending(
        &mut self,
        now: Instant,
        target: &Target,
        (domain, to): (DomainId, SocketAddr),
        (sent, read): (u64, u64),
    ) {
        let version = self.replica.installed_version();
        if let Some(link) = self.links.active.get_mut(target) {
            link.version = version;
            link.sending = Some(Sending {
                to,
                domain,
                sent,
                read,
                expires_at: now + ANSWER_TIMEOUT,
            });
        }
    }

    /// Returns the changes that a target lacks.
    fn changes(&self, target: &Target, with_room: bool) -> Delta {
        let mut delta = Delta {
            entries: Vec::new(),
            updates: Vec::new(),
            reaches: Vec::new(),
            wanted: Vec::new(),
        };
        let Some(link) = self.links.active.get(target) else {
            return delta;
        };
        let homes = self.homes();
        for member in self.member_list.iter() {
            let record = &member.entry.record;
            if !self.is_for(target, &record.domain, &record.region, &homes) {
                continue;
            }
            if member.base_change > link.sent {
                delta.entries.push(member.entry.clone());
            } else if member.stamp_change > link.sent
                || with_room && member.free_slots_change > link.read
            {
                delta.updates.push(to_update(&member.entry));
            }
        }
        let is_for = |reach: &Reachability| {
            let region = self.regions.get(&reach.observer);
            region.is_some_and(|region| self.is_for(target, &reach.observer, region, &homes))
        };
        let reaches = self.reaches.since(link.sent).into_iter();
        delta.reaches = reaches.filter(is_for).collect();
        delta
    }
}
