//! Compares whole views with other nodes and closes gaps.

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
    membership::{Change, Entry, Member, Stamp, stamp_of},
};

/// Time between two comparisons with a node of the scope.
const SYNC_INTERVAL: Duration = Duration::from_secs(20);
/// First bound of the pause between attempts to join.
const JOIN_FIRST: Duration = Duration::from_millis(400);
/// Largest pause between attempts to join.
const JOIN_CAP: Duration = Duration::from_secs(3);
/// Shortest time between two comparisons with unknown senders.
const STRANGER_INTERVAL: Duration = Duration::from_secs(1);
/// Seeds that are asked at a time.
const SEEDS: usize = 2;

/// Comparisons of a node with others.
#[derive(Debug)]
pub(super) struct Syncer {
    due: Instant,
    join: Backoff,
    joined: bool,
    stranger_due: Instant,
}

impl Syncer {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            due: now,
            join: Backoff::new(JOIN_FIRST, JOIN_CAP),
            joined: false,
            stranger_due: now,
        }
    }

    pub(super) fn deadline(&self) -> Instant {
        self.due
    }
}

impl Hybrid {
    pub(super) fn sync_timer(&mut self, now: Instant) {
        if now < self.syncer.due {
            return;
        }
        let others: Vec<SocketAddr> = self.neighbours().filter_map(|peer| peer.address).collect();
        if let Some(to) = others.choose(&mut self.random) {
            self.syncer.due = now + jitter(&mut self.random, SYNC_INTERVAL);
            self.send_sync(*to);
            return;
        }
        self.syncer.joined = false;
        self.syncer.due = now + self.syncer.join.fail(&mut self.random);
        let seeds = self.shuffled(self.seeds.clone());
        for seed in seeds.into_iter().take(SEEDS) {
            self.send_sync(seed);
        }
    }

    pub(super) fn send_sync(&mut self, to: SocketAddr) {
        let sync = Sync {
            summaries: self.member_list.summaries(),
            reaches: self.reaches.since(0),
        };
        self.send(to, sync);
    }

    pub(super) fn sync_with_stranger(&mut self, now: Instant, from: SocketAddr) {
        if self.member_list.get_by_address(from).is_none() && now >= self.syncer.stranger_due {
            self.syncer.stranger_due = now + STRANGER_INTERVAL;
            self.send_sync(from);
        }
    }

    pub(super) fn synced(&mut self, now: Instant, from: SocketAddr, sync: Sync) {
        self.take_reaches(now, sync.reaches);
        let domains = self.member_list.differing_domains(&sync.summaries);
        if domains.is_empty() {
            let entries = Vec::new();
            self.send(from, Ack { entries });
            return;
        }
        let marks = self.member_list.stamps(&domains);
        let reaches = self.reaches.since(0);
        self.send(
            from,
            Index {
                domains,
                marks,
                reaches,
            },
        );
    }

    pub(super) fn indexed(&mut self, now: Instant, from: SocketAddr, index: Index) {
        self.take_reaches(now, index.reaches);
        let lacks = |shown: &Stamp| {
            let held = self.member_list.get(&shown.instance);
            held.is_none_or(|held| state(shown) > state(&stamp_of(&held.entry)))
        };
        let wanted = index.marks.iter().filter(|shown| lacks(shown));
        let wanted: Vec<InstanceId> = wanted.map(|shown| shown.instance.clone()).collect();
        let is_news = |member: &&Member| {
            let shown = index
                .marks
                .iter()
                .find(|shown| shown.instance == member.entry.record.instance);
            match shown {
                Some(shown) => state(&stamp_of(&member.entry)) > state(shown),
                None => member.is_present() && index.domains.contains(&member.entry.record.domain),
            }
        };
        let news = self.member_list.iter().filter(is_news);
        let entries: Vec<Entry> = news.map(|member| member.entry.clone()).collect();
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

    pub(super) fn delta(&mut self, now: Instant, from: SocketAddr, delta: Delta) {
        let near = self
            .member_list
            .get_by_address(from)
            .is_some_and(|peer| self.in_scope(peer));
        let sender = from.to_string();
        let mut wanted = Vec::new();
        let mut corrections = Vec::new();
        for entry in &delta.entries {
            let change = self.take_entry(now, entry, &mut corrections);
            let owned = entry.record.address == sender;
            self.pass_on(now, &entry.record.instance, change, !near || owned);
        }
        for update in &delta.updates {
            let change = self.take_update(now, update, &mut corrections, &mut wanted);
            self.pass_on(now, &update.instance, change, !near);
        }
        self.take_reaches(now, delta.reaches);
        if !near {
            // The sender counts on this node once it has the answer.
            self.push_now(now);
        }
        for instance in &delta.wanted {
            let held = self.member_list.get(instance);
            corrections.extend(held.map(|held| held.entry.clone()));
        }
        if corrections.is_empty() && wanted.is_empty() {
            let entries = Vec::new();
            self.send(from, Ack { entries });
        } else {
            self.send_delta(from, corrections, wanted);
        }
        self.join(now);
    }

    /// Publishes the own record once other nodes of the scope are known.
    fn join(&mut self, now: Instant) {
        if self.syncer.joined || self.neighbours().next().is_none() {
            return;
        }
        self.syncer.joined = true;
        self.syncer.join.succeed();
        self.push_stalled();
        let instance = self.instance.clone();
        self.push_later(now, &instance, Change::Base);
    }

    fn pass_on(&mut self, now: Instant, instance: &str, change: Change, push: bool) {
        if push {
            self.push_later(now, instance, change);
        } else if change > Change::FreeSlots {
            self.link_later(now);
        }
    }

    fn take_reaches(&mut self, now: Instant, reaches: Vec<Reachability>) {
        for reach in reaches {
            if self.learn_reach(reach.clone()) {
                self.push_reach_later(now, reach);
            }
        }
    }
}

fn state(mark: &Stamp) -> (u64, u64, crate::membership::Liveness) {
    (mark.incarnation, mark.sequence, mark.standing)
}
