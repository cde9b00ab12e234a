//! Pushes changes through the scope: the local failure domain or the fleet.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_schema::peer::{Ack, Message, Payload, Push, Reachability};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{core::Hybrid, variant::Propagation};
use crate::{
    id::InstanceId,
    membership::{ChangeKind, Entry, Update, rendezvous_weight, to_update},
};

/// Children of each node in a push tree.
const TREE_FANOUT: usize = 3;
/// Number of random nodes to which a node sends its changes in one round of gossip.
const GOSSIP_FANOUT: usize = 3;
/// Time between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which a change of state is batched with others.
const STATE_BATCH_DELAY: Duration = Duration::from_millis(30);
/// Maximum number of received pushes that a node defers until it has joined.
const MAX_DEFERRED_PUSHES: usize = 64;
/// Time between two attempts to push while no other node of the scope is known.
const NO_PEER_DELAY: Duration = Duration::from_millis(250);
/// Shortest time between two acknowledgements of pushes of one node.
const ACK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest batch delay of changed free slots.
const MIN_FREE_SLOTS_DELAY: Duration = Duration::from_secs(3);
/// Batch delay of changed free slots per other node of the scope, which limits the scope to about
/// two such pushes a second.
const FREE_SLOTS_DELAY_PER_PEER: Duration = Duration::from_millis(500);

/// Changes that are queued for a push.
#[derive(Debug, Default)]
pub(super) struct PushQueue {
    changes: BTreeMap<InstanceId, QueuedChange>,
    reachability: Vec<Reachability>,
    deferred: Vec<Push>,
    due: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedChange {
    change: ChangeKind,
    remaining_rounds: u32,
}

impl PushQueue {
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.due
    }

    fn schedule_no_later_than(&mut self, at: Instant) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

impl Hybrid {
    /// Queues a change of a node for a push through the scope, and schedules the links.
    pub(super) fn queue_change(&mut self, now: Instant, instance: &str, change: ChangeKind) {
        let delay = match change {
            ChangeKind::None => return,
            ChangeKind::FreeSlots => self.free_slots_delay(),
            ChangeKind::Stamp | ChangeKind::Base => STATE_BATCH_DELAY,
        };
        self.enqueue(instance, change);
        self.push_queue.schedule_no_later_than(now + delay);
        if change > ChangeKind::FreeSlots {
            self.schedule_links(now);
        }
    }

    /// Returns the batch delay of changed free slots, which grows with the scope.
    ///
    /// Every push reaches every node of the scope, so the load of each node grows
    /// with the number of nodes that push.
    fn free_slots_delay(&self) -> Duration {
        let nodes = u32::try_from(self.peers_in_scope().count()).unwrap_or(u32::MAX);
        MIN_FREE_SLOTS_DELAY.max(FREE_SLOTS_DELAY_PER_PEER.saturating_mul(nodes))
    }

    /// Pushes the queued changes without a delay, unless only free slots changed.
    pub(super) fn flush_urgent(&mut self, now: Instant) {
        let mut queued_changes = self.push_queue.changes.values();
        let is_urgent = queued_changes.any(|queued| queued.change > ChangeKind::FreeSlots);
        if is_urgent || !self.push_queue.reachability.is_empty() {
            self.push_queue.due = Some(now);
            self.handle_push_timer(now);
        }
    }

    /// Queues a reachability statement for a push through the scope, and schedules the links.
    pub(super) fn queue_reachability(&mut self, now: Instant, reachability: Reachability) {
        self.push_queue.reachability.push(reachability);
        self.push_queue
            .schedule_no_later_than(now + STATE_BATCH_DELAY);
        self.schedule_links(now);
    }

    /// Pushes the version in force without a delay.
    ///
    /// Every message carries the version, so an empty push suffices.
    pub(super) fn push_version(&mut self, now: Instant, origin: Option<InstanceId>) {
        self.schedule_links_now(now);
        let is_tree = self.variant.propagation == Propagation::Tree;
        if let Some(origin) = origin.filter(|_| is_tree) {
            self.send_to_children(&empty_push(origin));
        } else {
            self.push_queue.schedule_no_later_than(now);
        }
    }

    pub(super) fn handle_push_timer(&mut self, now: Instant) {
        if self.push_queue.due.is_none_or(|due| due > now) {
            return;
        }
        self.push_queue.due = None;
        if self.peers_in_scope().next().is_none() {
            // A node that has just started pushes its changes once it has joined.
            let has_changes =
                !self.push_queue.changes.is_empty() || !self.push_queue.reachability.is_empty();
            self.push_queue.due = has_changes.then(|| now + NO_PEER_DELAY);
            return;
        }
        let push = self.build_push();
        match self.variant.propagation {
            Propagation::Tree => {
                self.push_queue.changes.clear();
                self.send_to_children(&push);
            }
            Propagation::Gossip => {
                self.gossip_push(&push);
                self.decrement_gossip_rounds();
                if !self.push_queue.changes.is_empty() {
                    self.push_queue
                        .schedule_no_later_than(now + GOSSIP_INTERVAL);
                }
            }
        }
    }

    /// Merges a push, forwards it if it changed anything or has updates that cannot be applied,
    /// and responds.
    pub(super) fn handle_push(&mut self, now: Instant, from: SocketAddr, push: &Push) {
        let mut has_changes = false;
        let mut wanted = Vec::new();
        let mut response_entries = Vec::new();
        for entry in &push.entries {
            let change = self.merge_received_entry(now, entry, &mut response_entries);
            has_changes |= change > ChangeKind::None;
            self.queue_received_change(now, &entry.record.instance, change);
        }
        for update in &push.updates {
            let change =
                self.merge_received_update(now, update, &mut response_entries, &mut wanted);
            has_changes |= change > ChangeKind::None;
            self.queue_received_change(now, &update.instance, change);
        }
        for reachability in &push.reaches {
            if self.merge_reachability(reachability.clone()) {
                has_changes = true;
                self.schedule_links(now);
            }
        }
        // An update that cannot be applied contains a change that this node lacks, so its children
        // may lack it too.
        if (has_changes || !wanted.is_empty()) && self.variant.propagation == Propagation::Tree {
            self.forward_push(push);
        }
        if response_entries.is_empty() && wanted.is_empty() {
            self.ack_push(now, from);
        } else {
            self.send_delta(from, response_entries, wanted);
        }
    }

    /// Sends a push that could not be delivered to the children of the unreachable node.
    pub(super) fn push_to_children_of_unreachable(&mut self, unreachable: SocketAddr, push: &Push) {
        if self.variant.propagation == Propagation::Gossip {
            return;
        }
        let Some(unreachable) = self.member_list.get_by_address(unreachable) else {
            return;
        };
        let unreachable = unreachable.entry.record.instance.clone();
        for child in self.children(&push.origin, &unreachable) {
            self.send(child, push.clone());
        }
    }

    /// Returns the origin of a message if it is a push.
    pub(super) fn push_origin(message: &Message) -> Option<InstanceId> {
        match &message.payload {
            Payload::Push(push) => Some(push.origin.clone()),
            _ => None,
        }
    }

    fn enqueue(&mut self, instance: &str, change: ChangeKind) {
        let remaining_rounds = self.gossip_rounds();
        let queued = self.push_queue.changes.entry(instance.to_owned());
        let queued = queued.or_insert(QueuedChange {
            change,
            remaining_rounds,
        });
        queued.change = queued.change.max(change);
        queued.remaining_rounds = remaining_rounds;
    }

    /// Schedules the links after a change received in a push.
    ///
    /// With gossip, or while no other node is known, the change is queued for the scope instead.
    fn queue_received_change(&mut self, now: Instant, instance: &str, change: ChangeKind) {
        if change == ChangeKind::None {
            return;
        }
        let is_alone = self.peers_in_scope().next().is_none();
        if self.variant.propagation == Propagation::Gossip || is_alone {
            self.enqueue(instance, change);
            self.push_queue
                .schedule_no_later_than(now + GOSSIP_INTERVAL);
        } else if change > ChangeKind::FreeSlots {
            self.schedule_links(now);
        }
    }

    /// Acknowledges a push at most every [`ACK_INTERVAL`], which saves the sender a probe.
    fn ack_push(&mut self, now: Instant, to: SocketAddr) {
        if self.member_list.mark_ack_sent_if_due(now, to, ACK_INTERVAL) {
            let entries = Vec::new();
            self.send(to, Ack { entries });
        }
    }

    fn build_push(&mut self) -> Push {
        let mut push = empty_push(self.instance.clone());
        push.reaches = std::mem::take(&mut self.push_queue.reachability);
        for (instance, queued) in &self.push_queue.changes {
            let Some(member) = self.member_list.get(instance) else {
                continue;
            };
            if queued.change == ChangeKind::Base {
                push.entries.push(member.entry.clone());
            } else {
                push.updates.push(to_update(&member.entry));
            }
        }
        push
    }

    /// Forwards a push along its tree, or defers it until this node has joined.
    fn forward_push(&mut self, push: &Push) {
        if self.peers_in_scope().next().is_some() {
            self.send_to_children(push);
        } else if self.push_queue.deferred.len() < MAX_DEFERRED_PUSHES {
            self.push_queue.deferred.push(push.clone());
        }
    }

    /// Forwards the pushes that were deferred until this node joined.
    pub(super) fn send_deferred_pushes(&mut self) {
        for push in std::mem::take(&mut self.push_queue.deferred) {
            self.send_to_children(&push);
        }
    }

    fn send_to_children(&mut self, push: &Push) {
        let local = self.instance.clone();
        for child in self.children(&push.origin, &local) {
            self.send(child, push.clone());
        }
    }

    fn gossip_push(&mut self, push: &Push) {
        let others: Vec<SocketAddr> = self
            .peers_in_scope()
            .filter_map(|peer| peer.address)
            .collect();
        let chosen: Vec<SocketAddr> = others
            .sample(&mut self.random, GOSSIP_FANOUT)
            .copied()
            .collect();
        for to in chosen {
            self.send(to, push.clone());
        }
    }

    fn decrement_gossip_rounds(&mut self) {
        for queued in self.push_queue.changes.values_mut() {
            queued.remaining_rounds -= 1;
        }
        self.push_queue
            .changes
            .retain(|_, queued| queued.remaining_rounds > 0);
    }

    /// Returns the rounds for which a change is gossiped, logarithmic in the size of the scope.
    fn gossip_rounds(&self) -> u32 {
        let nodes = self.peers_in_scope().count() + 1;
        usize::BITS - nodes.leading_zeros()
    }

    /// Returns the children of a node in the tree whose root is `origin`.
    ///
    /// The other nodes follow by ascending rendezvous weight, [`TREE_FANOUT`] children for each
    /// node.
    fn children(&self, origin: &str, parent: &str) -> Vec<SocketAddr> {
        let mut nodes: Vec<(u64, &str, Option<SocketAddr>)> = self
            .member_list
            .present()
            .filter(|member| self.is_in_scope(member))
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
            let index = nodes
                .iter()
                .position(|(_, instance, _)| *instance == parent);
            index.map(|index| index + 1)
        };
        let Some(position) = position else {
            return Vec::new();
        };
        let first = position * TREE_FANOUT;
        nodes
            .into_iter()
            .skip(first)
            .take(TREE_FANOUT)
            .filter_map(|(_, _, address)| address)
            .collect()
    }

    /// Merges a received entry, and adds the held one to `response_entries` if that is newer.
    pub(super) fn merge_received_entry(
        &mut self,
        now: Instant,
        entry: &Entry,
        response_entries: &mut Vec<Entry>,
    ) -> ChangeKind {
        if self.holds_newer(entry) {
            let held = self.member_list.get(&entry.record.instance);
            response_entries.extend(held.map(|held| held.entry.clone()));
        }
        self.merge_entry(now, entry.clone())
    }

    /// Merges a received update.
    ///
    /// An update that does not apply adds the held entry to `response_entries` if
    /// that has a higher incarnation, else the instance to `wanted`.
    pub(super) fn merge_received_update(
        &mut self,
        now: Instant,
        update: &Update,
        response_entries: &mut Vec<Entry>,
        wanted: &mut Vec<InstanceId>,
    ) -> ChangeKind {
        let held = self
            .member_list
            .get(&update.instance)
            .map(|held| &held.entry);
        let applied = held.and_then(|held| crate::membership::apply_update(update, held));
        match (applied, held) {
            (Some(entry), _) => self.merge_received_entry(now, &entry, response_entries),
            (None, Some(held)) if held.record.incarnation > update.incarnation => {
                response_entries.push(held.clone());
                ChangeKind::None
            }
            (None, _) => {
                wanted.push(update.instance.clone());
                ChangeKind::None
            }
        }
    }

    /// Returns the items in a random order.
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
