//! Pushes changes through the scope: the own failure domain or the fleet.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_schema::peer::{Ack, Message, Payload, Push, Reachability};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{core::Hybrid, variant::Travel};
use crate::{
    id::InstanceId,
    membership::{Change, Entry, Update, rendezvous_weight, to_update},
};

/// Nodes to which each node of a tree passes a change on.
const CHILDREN: usize = 3;
/// Random nodes to which gossip passes a change on in one round.
const GOSSIP_FANOUT: usize = 3;
/// Time between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait of a changed state for others.
const STATE_DELAY: Duration = Duration::from_millis(30);
/// Pushes that a node keeps until it has joined.
const STALLED: usize = 64;
/// Time for which changes are kept while no other node of the scope is known.
const ALONE_DELAY: Duration = Duration::from_millis(250);
/// Shortest time between two answers to pushes of one node.
const ANSWER_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait of a changed room for others in a small scope.
const ROOM_DELAY: Duration = Duration::from_secs(3);
/// Time between two pushes of changed room in a scope, over all its nodes.
const ROOM_SPACING: Duration = Duration::from_millis(500);

/// Changes that wait to be pushed.
#[derive(Debug, Default)]
pub(super) struct Pending {
    changes: BTreeMap<InstanceId, Rumour>,
    reaches: Vec<Reachability>,
    stalled: Vec<Push>,
    due: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Rumour {
    change: Change,
    rounds: u32,
}

impl Pending {
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.due
    }

    fn due_by(&mut self, at: Instant) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

impl Hybrid {
    /// Queues a change of a node for the scope and for other failure domains.
    pub(super) fn push_later(&mut self, now: Instant, instance: &str, change: Change) {
        let delay = match change {
            Change::None => return,
            Change::FreeSlots => self.room_delay(),
            Change::State | Change::Base => STATE_DELAY,
        };
        self.queue(instance, change);
        self.pending.due_by(now + delay);
        if change > Change::FreeSlots {
            self.link_later(now);
        }
    }

    /// Returns the wait of a changed room, which grows with the scope.
    ///
    /// Every push passes every node, so that the pushes of a scope are what
    /// each of its nodes has to carry.
    fn room_delay(&self) -> Duration {
        let nodes = u32::try_from(self.neighbours().count()).unwrap_or(u32::MAX);
        ROOM_DELAY.max(ROOM_SPACING.saturating_mul(nodes))
    }

    /// Pushes changes of state that wait at once.
    pub(super) fn push_now(&mut self, now: Instant) {
        let mut waiting = self.pending.changes.values();
        let urgent = waiting.any(|rumour| rumour.change > Change::FreeSlots);
        if urgent || !self.pending.reaches.is_empty() {
            self.pending.due = Some(now);
            self.push_timer(now);
        }
    }

    /// Queues a statement on reachability.
    pub(super) fn push_reach_later(&mut self, now: Instant, reach: Reachability) {
        self.pending.reaches.push(reach);
        self.pending.due_by(now + STATE_DELAY);
        self.link_later(now);
    }

    /// Pushes the version in force at once.
    pub(super) fn push_version(&mut self, now: Instant, origin: Option<InstanceId>) {
        self.link_now(now);
        let is_tree = self.variant.travel == Travel::Tree;
        if let Some(origin) = origin.filter(|_| is_tree) {
            self.push_down(&empty_push(origin));
        } else {
            self.pending.due_by(now);
        }
    }

    pub(super) fn push_timer(&mut self, now: Instant) {
        if self.pending.due.is_none_or(|due| due > now) {
            return;
        }
        self.pending.due = None;
        if self.neighbours().next().is_none() {
            // A node that has just started passes on what it heard once it has joined.
            let kept = !self.pending.changes.is_empty() || !self.pending.reaches.is_empty();
            self.pending.due = kept.then(|| now + ALONE_DELAY);
            return;
        }
        let push = self.collect();
        match self.variant.travel {
            Travel::Tree => {
                self.pending.changes.clear();
                self.push_down(&push);
            }
            Travel::Gossip => {
                self.gossip(&push);
                self.age();
                if !self.pending.changes.is_empty() {
                    self.pending.due_by(now + GOSSIP_INTERVAL);
                }
            }
        }
    }

    /// Takes a push and passes on what is news.
    pub(super) fn pushed(&mut self, now: Instant, from: SocketAddr, push: &Push) {
        let mut news = false;
        let mut wanted = Vec::new();
        let mut corrections = Vec::new();
        for entry in &push.entries {
            let change = self.take_entry(now, entry, &mut corrections);
            news |= change > Change::None;
            self.rumoured(now, &entry.record.instance, change);
        }
        for update in &push.updates {
            let change = self.take_update(now, update, &mut corrections, &mut wanted);
            news |= change > Change::None;
            self.rumoured(now, &update.instance, change);
        }
        for reach in &push.reaches {
            if self.learn_reach(reach.clone()) {
                news = true;
                self.link_later(now);
            }
        }
        // What this node cannot apply is news to it, and perhaps to those behind it.
        if (news || !wanted.is_empty()) && self.variant.travel == Travel::Tree {
            self.pass_down(push);
        }
        if corrections.is_empty() && wanted.is_empty() {
            self.confirm(now, from);
        } else {
            self.send_delta(from, corrections, wanted);
        }
    }

    /// Passes a push that could not be delivered to the nodes behind the lost one.
    pub(super) fn push_around(&mut self, lost: SocketAddr, push: &Push) {
        if self.variant.travel == Travel::Gossip {
            return;
        }
        let Some(lost) = self.member_list.get_by_address(lost) else {
            return;
        };
        let lost = lost.entry.record.instance.clone();
        for child in self.children(&push.origin, &lost) {
            self.send(child, push.clone());
        }
    }

    /// Returns the origin of a message if it is a push.
    pub(super) fn origin(message: &Message) -> Option<InstanceId> {
        match &message.payload {
            Payload::Push(push) => Some(push.origin.clone()),
            _ => None,
        }
    }

    fn queue(&mut self, instance: &str, change: Change) {
        let rounds = self.rounds();
        let rumour = self.pending.changes.entry(instance.to_owned());
        let rumour = rumour.or_insert(Rumour { change, rounds });
        rumour.change = rumour.change.max(change);
        rumour.rounds = rounds;
    }

    /// Queues a change that came by a push: for links, and for gossip also for the scope.
    fn rumoured(&mut self, now: Instant, instance: &str, change: Change) {
        if change == Change::None {
            return;
        }
        let alone = self.neighbours().next().is_none();
        if self.variant.travel == Travel::Gossip || alone {
            self.queue(instance, change);
            self.pending.due_by(now + GOSSIP_INTERVAL);
        } else if change > Change::FreeSlots {
            self.link_later(now);
        }
    }

    /// Answers a push now and then, which spares the sender a probe.
    fn confirm(&mut self, now: Instant, to: SocketAddr) {
        if self.member_list.mark_acked_if_due(now, to, ANSWER_INTERVAL) {
            let entries = Vec::new();
            self.send(to, Ack { entries });
        }
    }

    fn collect(&mut self) -> Push {
        let mut push = empty_push(self.instance.clone());
        push.reaches = std::mem::take(&mut self.pending.reaches);
        for (instance, rumour) in &self.pending.changes {
            let Some(member) = self.member_list.get(instance) else {
                continue;
            };
            if rumour.change == Change::Base {
                push.entries.push(member.entry.clone());
            } else {
                push.updates.push(to_update(&member.entry));
            }
        }
        push
    }

    /// Passes a push on, or keeps it until this node has joined.
    fn pass_down(&mut self, push: &Push) {
        if self.neighbours().next().is_some() {
            self.push_down(push);
        } else if self.pending.stalled.len() < STALLED {
            self.pending.stalled.push(push.clone());
        }
    }

    /// Passes on what came before this node had joined.
    pub(super) fn push_stalled(&mut self) {
        for push in std::mem::take(&mut self.pending.stalled) {
            self.push_down(&push);
        }
    }

    fn push_down(&mut self, push: &Push) {
        let own = self.instance.clone();
        for child in self.children(&push.origin, &own) {
            self.send(child, push.clone());
        }
    }

    fn gossip(&mut self, push: &Push) {
        let others: Vec<SocketAddr> = self.neighbours().filter_map(|peer| peer.address).collect();
        let chosen: Vec<SocketAddr> = others
            .sample(&mut self.random, GOSSIP_FANOUT)
            .copied()
            .collect();
        for to in chosen {
            self.send(to, push.clone());
        }
    }

    fn age(&mut self) {
        for rumour in self.pending.changes.values_mut() {
            rumour.rounds -= 1;
        }
        self.pending.changes.retain(|_, rumour| rumour.rounds > 0);
    }

    /// Returns the rounds for which a change is gossiped.
    fn rounds(&self) -> u32 {
        let nodes = self.neighbours().count() + 1;
        usize::BITS - nodes.leading_zeros()
    }

    /// Returns the children of a node in the tree of an origin.
    fn children(&self, origin: &str, parent: &str) -> Vec<SocketAddr> {
        let mut nodes: Vec<(u64, &str, Option<SocketAddr>)> = self
            .member_list
            .present()
            .filter(|member| self.in_scope(member))
            .map(|member| {
                let instance = member.entry.record.instance.as_str();
                (
                    rendezvous_weight(instance, origin),
                    instance,
                    member.address,
                )
            })
            .filter(|(_, instance, _)| *instance != origin)
            .collect();
        nodes.sort_unstable();
        let position = if parent == origin {
            Some(0)
        } else {
            let found = nodes
                .iter()
                .position(|(_, instance, _)| *instance == parent);
            found.map(|index| index + 1)
        };
        let Some(position) = position else {
            return Vec::new();
        };
        let first = position * CHILDREN;
        nodes
            .into_iter()
            .skip(first)
            .take(CHILDREN)
            .filter_map(|(_, _, address)| address)
            .collect()
    }

    /// Takes an entry and notes the held one if that is higher.
    pub(super) fn take_entry(
        &mut self,
        now: Instant,
        entry: &Entry,
        corrections: &mut Vec<Entry>,
    ) -> Change {
        if self.knows_better(entry) {
            let held = self.member_list.get(&entry.record.instance);
            corrections.extend(held.map(|held| held.entry.clone()));
        }
        self.learn(now, entry.clone())
    }

    /// Takes an update, or notes the instance whose whole record is wanted.
    pub(super) fn take_update(
        &mut self,
        now: Instant,
        update: &Update,
        corrections: &mut Vec<Entry>,
        wanted: &mut Vec<InstanceId>,
    ) -> Change {
        let held = self
            .member_list
            .get(&update.instance)
            .map(|held| &held.entry);
        let applied = held.and_then(|held| crate::membership::apply_update(update, held));
        match (applied, held) {
            (Some(entry), _) => self.take_entry(now, &entry, corrections),
            (None, Some(held)) if held.record.incarnation > update.incarnation => {
                corrections.push(held.clone());
                Change::None
            }
            (None, _) => {
                wanted.push(update.instance.clone());
                Change::None
            }
        }
    }

    /// Shuffles addresses by the own generator.
    pub(super) fn shuffled<T>(&mut self, mut items: Vec<T>) -> Vec<T> {
        items.shuffle(&mut self.random);
        items
    }
}

fn empty_push(origin: InstanceId) -> Push {
    Push {
        origin,
        entries: Vec::new(),
        updates: Vec::new(),
        reaches: Vec::new(),
    }
}
