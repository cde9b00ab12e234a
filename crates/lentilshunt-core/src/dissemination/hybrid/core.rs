//! The state of the strategy and its events.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_schema::peer::{Message, Payload, Reachability};
use rand::rngs::StdRng;

use super::{
    links::Links,
    probe::Prober,
    pull::Pull,
    push::Pending,
    reachability::Reaches,
    startup::Start,
    sync::Syncer,
    variant::{Scope, Variant},
    watch::Watcher,
};
use crate::{
    dissemination::{
        Action, Event, LinkClass, PlatformRequest, Strategy, config_replica::ConfigReplica,
    },
    id::{DomainId, InstanceId, RegionId},
    membership::{Change, Entry, Liveness, LocalRecord, Member, MemberList, View, precedence},
};

/// Time between two looks at deadlines that need no precision.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time from a change to the view that shows it.
const PUBLISH_DELAY: Duration = Duration::from_millis(10);
/// Characters of a digest that each message carries.
const DIGEST_CHARACTERS: usize = 8;

/// A node that learns from its failure domain, from relays and from the platform.
#[derive(Debug)]
pub struct Hybrid {
    pub(super) variant: Variant,
    pub(super) local_record: LocalRecord,
    pub(super) instance: InstanceId,
    pub(super) domain: DomainId,
    pub(super) region: RegionId,
    pub(super) address: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) random: StdRng,
    pub(super) member_list: MemberList,
    pub(super) reaches: Reaches,
    /// Region of every failure domain that was ever heard of.
    pub(super) regions: BTreeMap<DomainId, RegionId>,
    pub(super) replica: ConfigReplica,
    pub(super) links: Links,
    pub(super) pending: Pending,
    pub(super) prober: Prober,
    pub(super) pull: Pull,
    pub(super) start: Start,
    pub(super) syncer: Syncer,
    pub(super) watcher: Watcher,
    tick_due: Instant,
    view: Arc<View>,
    viewed: u64,
    publish_due: Option<Instant>,
    actions: Vec<Action>,
}

impl Hybrid {
    /// Creates a node that starts at `now` and knows the peer addresses `seeds`.
    ///
    /// # Panics
    ///
    /// Panics when the address of the owner's record is not an IP address and port.
    #[must_use]
    pub fn new(
        local_record: LocalRecord,
        seeds: Vec<SocketAddr>,
        mut random: StdRng,
        now: Instant,
    ) -> Self {
        let record = local_record.record().clone();
        let address = record.address.parse().expect("a checked address");
        let regions = BTreeMap::from([(record.domain.clone(), record.region.clone())]);
        let mut member_list = MemberList::default();
        let entry = Entry {
            record: record.clone(),
            standing: Liveness::Alive,
        };
        member_list.merge(now, entry);
        Self {
            variant: Variant::HYBRID,
            local_record,
            instance: record.instance,
            domain: record.domain,
            region: record.region,
            address,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            prober: Prober::new(&mut random, now),
            syncer: Syncer::new(now),
            watcher: Watcher::new(&mut random, now),
            random,
            member_list,
            reaches: Reaches::default(),
            regions,
            replica: ConfigReplica::default(),
            links: Links::default(),
            pending: Pending::default(),
            pull: Pull::default(),
            start: Start::default(),
            tick_due: now,
            view: Arc::default(),
            viewed: 0,
            publish_due: None,
            actions: Vec::new(),
        }
    }

    /// Chooses another way to bring changes to every node.
    #[must_use]
    pub fn with_variant(mut self, variant: Variant) -> Self {
        self.variant = variant;
        self
    }

    /// Returns the entries of all nodes that this node knows.
    #[must_use]
    pub fn member_list(&self) -> &MemberList {
        &self.member_list
    }

    /// Returns whether a node belongs to the scope of probes and pushes.
    pub(super) fn in_scope(&self, member: &Member) -> bool {
        self.variant.scope == Scope::Fleet || member.entry.record.domain == self.domain
    }

    /// Returns the other nodes of the scope that are not gone.
    pub(super) fn neighbours(&self) -> impl Iterator<Item = &Member> {
        self.member_list
            .present()
            .filter(|member| self.in_scope(member) && member.entry.record.instance != self.instance)
    }

    pub(super) fn send(&mut self, to: SocketAddr, payload: impl Into<Payload>) {
        let head = self.replica.installed_head();
        let message = Message {
            from: self.address.to_string(),
            version: head.version,
            digest: head.digest.chars().take(DIGEST_CHARACTERS).collect(),
            payload: payload.into(),
        };
        let message = Box::new(message);
        let link = self
            .member_list
            .get_by_address(to)
            .map_or(LinkClass::Unknown, |member| {
                LinkClass::between(&self.domain, &self.region, &member.entry.record)
            });
        self.actions.push(Action::Send { to, message, link });
    }

    pub(super) fn request(&mut self, request: PlatformRequest) {
        self.actions.push(Action::Request(request));
    }

    pub(super) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Takes an entry and returns what it changed.
    ///
    /// What others believe of this node is refuted where it is wrong.
    pub(super) fn learn(&mut self, now: Instant, entry: Entry) -> Change {
        if entry.record.instance == self.instance && self.local_record.refute(&entry) {
            self.own_changed(now);
            return Change::None;
        }
        let record = &entry.record;
        let place = (record.domain.clone(), record.region.clone());
        let change = self.member_list.merge(now, entry);
        if change == Change::Base {
            self.regions.insert(place.0, place.1);
        }
        change
    }

    /// Takes an entry and, if it changed anything, pushes it through the scope.
    pub(super) fn learn_and_push(&mut self, now: Instant, entry: Entry) -> Change {
        let instance = entry.record.instance.clone();
        let change = self.learn(now, entry);
        self.push_later(now, &instance, change);
        change
    }

    /// Takes a statement on reachability and returns whether it is news.
    pub(super) fn learn_reach(&mut self, reach: Reachability) -> bool {
        let number = self.member_list.next_change_number();
        self.reaches.merge(reach, number)
    }

    /// Publishes the own record after a change.
    pub(super) fn own_changed(&mut self, now: Instant) {
        let entry = Entry {
            record: self.local_record.record().clone(),
            standing: Liveness::Alive,
        };
        let change = self.member_list.merge(now, entry);
        let instance = self.instance.clone();
        self.push_later(now, &instance, change);
    }

    fn timer(&mut self, now: Instant) {
        if now >= self.tick_due {
            self.tick_due = now + TICK_INTERVAL;
            self.expire(now);
            self.choose_links(now);
            self.start_timer(now);
        }
        self.sync_timer(now);
        self.watch_timer(now);
        self.probe_timer(now);
        self.pull_timer(now);
        self.push_timer(now);
        self.link_timer(now);
    }

    /// Turns suspected nodes of the scope whose time has passed into gone ones.
    fn expire(&mut self, now: Instant) {
        let gone = self
            .member_list
            .expired_suspects(now, |member| self.in_scope(member));
        for entry in gone {
            self.learn_and_push(now, entry);
        }
        self.member_list.remove_expired(now);
    }

    /// Publishes the view soon after it changed.
    fn publish(&mut self, now: Instant) {
        if self.viewed == self.member_list.last_change_number() {
            return;
        }
        let due = *self.publish_due.get_or_insert(now + PUBLISH_DELAY);
        if due > now {
            return;
        }
        self.publish_due = None;
        self.viewed = self.member_list.last_change_number();
        let regions = &self.regions;
        let reachable: BTreeMap<_, _> = regions
            .keys()
            .map(|domain| {
                let reachable = self.reaches.is_reachable(&self.domain, domain, regions);
                (domain, reachable)
            })
            .collect();
        let records = self
            .member_list
            .present()
            .map(|member| &member.entry.record)
            .filter(|record| reachable.get(&record.domain) == Some(&true));
        let view = View::new(records);
        if view != *self.view {
            self.view = Arc::new(view);
            self.actions.push(Action::Publish(Arc::clone(&self.view)));
        }
    }

    /// Returns whether a node holds a higher state than an entry, room left aside.
    pub(super) fn knows_better(&self, entry: &Entry) -> bool {
        let held = self.member_list.get(&entry.record.instance);
        held.is_some_and(|held| {
            let (held, entry) = (precedence(&held.entry), precedence(entry));
            (held.0, held.1, held.2) > (entry.0, entry.1, entry.2)
        })
    }
}

impl Strategy for Hybrid {
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Timer => self.timer(now),
            Event::Announced(announcement) => {
                if self.local_record.apply_announcement(&announcement) {
                    self.own_changed(now);
                }
            }
            Event::AnnouncementTimeout => {
                if self.local_record.mark_gone() {
                    self.own_changed(now);
                }
            }
            Event::Stopping => {
                if self.local_record.start_draining() {
                    self.own_changed(now);
                }
            }
            Event::Platform { request, response } => self.handle_response(now, &request, response),
            Event::Message(message) => self.received(now, *message),
            Event::Unreachable { to, message } => self.unreachable(now, to, &message),
        }
        self.publish(now);
        std::mem::take(&mut self.actions)
    }

    fn deadline(&self) -> Instant {
        [
            Some(self.tick_due),
            Some(self.syncer.deadline()),
            Some(self.watcher.deadline()),
            Some(self.prober.deadline()),
            self.pull.deadline(),
            self.pending.deadline(),
            self.links.deadline(),
            self.publish_due,
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.tick_due)
    }
}
