//! Compares whole member lists with other nodes and exchanges the entries that differ.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_schema::peer::{Ack, Delta, Index, Reachability, Sync};
use rand::seq::IndexedRandom;

use super::core::Hybrid;
use crate::{
    dissemination::jitter::{Backoff, jitter},
    id::InstanceId,
    membership::{ChangeKind, Entry, Member, Stamp, stamp_of},
};

/// Mean time between two synchronizations with a node of the scope.
const SCOPE_SYNC_INTERVAL: Duration = Duration::from_secs(20);
/// Initial upper bound of the pause between attempts to join.
const JOIN_BACKOFF_BASE: Duration = Duration::from_millis(400);
/// Longest pause between attempts to join.
const JOIN_BACKOFF_CAP: Duration = Duration::from_secs(3);
/// Shortest time between two synchronizations with unknown senders.
const UNKNOWN_SENDER_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of seeds contacted in one attempt to join.
const SEEDS_PER_ATTEMPT: usize = 2;

/// Schedule of the synchronizations, and whether the node has joined the scope.
#[derive(Debug)]
pub(super) struct Syncer {
    due: Instant,
    join_backoff: Backoff,
    has_joined: bool,
    unknown_sender_due: Instant,
}

impl Syncer {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            due: now,
            join_backoff: Backoff::new(JOIN_BACKOFF_BASE, JOIN_BACKOFF_CAP),
            has_joined: false,
            unknown_sender_due: now,
        }
    }

    pub(super) fn deadline(&self) -> Instant {
        self.due
    }
}

impl Hybrid {
    pub(super) fn handle_sync_timer(&mut self, now: Instant) {
        if now < self.syncer.due {
            return;
        }
        let others: Vec<SocketAddr> = self
            .peers_in_scope()
            .filter_map(|peer| peer.address)
            .collect();
        if let Some(to) = others.choose(&mut self.random) {
            self.syncer.due = now + jitter(&mut self.random, SCOPE_SYNC_INTERVAL);
            self.send_sync(*to);
            return;
        }
        self.syncer.has_joined = false;
        self.syncer.due = now + self.syncer.join_backoff.next_pause(&mut self.random);
        let seeds = self.shuffled(self.seeds.clone());
        for seed in seeds.into_iter().take(SEEDS_PER_ATTEMPT) {
            self.send_sync(seed);
        }
    }

    pub(super) fn send_sync(&mut self, to: SocketAddr) {
        let sync = Sync {
            summaries: self.member_list.summaries(),
            reaches: self.reachability.since(0),
        };
        self.send(to, sync);
    }

    pub(super) fn sync_with_unknown_sender(&mut self, now: Instant, from: SocketAddr) {
        if self.member_list.get_by_address(from).is_none() && now >= self.syncer.unknown_sender_due
        {
            self.syncer.unknown_sender_due = now + UNKNOWN_SENDER_INTERVAL;
            self.send_sync(from);
        }
    }

    pub(super) fn handle_sync(&mut self, now: Instant, from: SocketAddr, sync: Sync) {
        self.merge_and_queue_reachabilities(now, sync.reaches);
        let domains = self.member_list.differing_domains(&sync.summaries);
        if domains.is_empty() {
            let entries = Vec::new();
            self.send(from, Ack { entries });
            return;
        }
        let stamps = self.member_list.stamps(&domains);
        let reaches = self.reachability.since(0);
        self.send(
            from,
            Index {
                domains,
                marks: stamps,
                reaches,
            },
        );
    }

    pub(super) fn handle_index(&mut self, now: Instant, from: SocketAddr, index: Index) {
        self.merge_and_queue_reachabilities(now, index.reaches);
        let is_newer = |received: &Stamp| {
            let held = self.member_list.get(&received.instance);
            held.is_none_or(|held| {
                stamp_precedence(received) > stamp_precedence(&stamp_of(&held.entry))
            })
        };
        let wanted = index.marks.iter().filter(|received| is_newer(received));
        let wanted: Vec<InstanceId> = wanted.map(|received| received.instance.clone()).collect();
        let is_missing_at_sender = |member: &&Member| {
            let received = index
                .marks
                .iter()
                .find(|received| received.instance == member.entry.record.instance);
            match received {
                Some(received) => {
                    stamp_precedence(&stamp_of(&member.entry)) > stamp_precedence(received)
                }
                None => member.is_present() && index.domains.contains(&member.entry.record.domain),
            }
        };
        let missing = self.member_list.iter().filter(is_missing_at_sender);
        let entries: Vec<Entry> = missing.map(|member| member.entry.clone()).collect();
        if !entries.is_empty() || !wanted.is_empty() {
            self.send_delta(from, entries, wanted);
        }
    }

    pub(super) fn send_delta(
        &mut self,
        to: SocketAddr,
        entries: Vec<Entry>,
        wanted: Vec<InstanceId>,
    ) {
        let delta = Delta {
            entries,
            updates: Vec::new(),
            reaches: Vec::new(),
            wanted,
        };
        self.send(to, delta);
    }

    pub(super) fn handle_delta(&mut self, now: Instant, from: SocketAddr, delta: Delta) {
        let is_sender_in_scope = self
            .member_list
            .get_by_address(from)
            .is_some_and(|peer| self.is_in_scope(peer));
        let sender = from.to_string();
        let mut wanted = Vec::new();
        let mut response_entries = Vec::new();
        for entry in &delta.entries {
            let change = self.merge_received_entry(now, entry, &mut response_entries);
            let is_sender_owner = entry.record.address == sender;
            self.propagate_change(
                now,
                &entry.record.instance,
                change,
                !is_sender_in_scope || is_sender_owner,
            );
        }
        for update in &delta.updates {
            let change =
                self.merge_received_update(now, update, &mut response_entries, &mut wanted);
            self.propagate_change(now, &update.instance, change, !is_sender_in_scope);
        }
        self.merge_and_queue_reachabilities(now, delta.reaches);
        if !is_sender_in_scope {
            // Once the response arrives, the sender relies on this node to push the changes.
            self.flush_urgent(now);
        }
        for instance in &delta.wanted {
            let held = self.member_list.get(instance);
            response_entries.extend(held.map(|held| held.entry.clone()));
        }
        if response_entries.is_empty() && wanted.is_empty() {
            let entries = Vec::new();
            self.send(from, Ack { entries });
        } else {
            self.send_delta(from, response_entries, wanted);
        }
        self.complete_join(now);
    }

    /// Completes the join once another node of the scope is known: sends the deferred pushes and
    /// queues the local record.
    fn complete_join(&mut self, now: Instant) {
        if self.syncer.has_joined || self.peers_in_scope().next().is_none() {
            return;
        }
        self.syncer.has_joined = true;
        self.syncer.join_backoff.reset();
        self.send_deferred_pushes();
        let instance = self.instance.clone();
        self.queue_change(now, &instance, ChangeKind::Base);
    }

    fn propagate_change(
        &mut self,
        now: Instant,
        instance: &str,
        change: ChangeKind,
        is_pushed: bool,
    ) {
        if is_pushed {
            self.queue_change(now, instance, change);
        } else if change > ChangeKind::FreeSlots {
            self.schedule_links(now);
        }
    }

    fn merge_and_queue_reachabilities(&mut self, now: Instant, reaches: Vec<Reachability>) {
        for reachability in reaches {
            if self.merge_reachability(reachability.clone()) {
                self.queue_reachability(now, reachability);
            }
        }
    }
}

fn stamp_precedence(stamp: &Stamp) -> (u64, u64, crate::membership::Liveness) {
    (stamp.incarnation, stamp.sequence, stamp.standing)
}
