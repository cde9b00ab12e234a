//! State of the hybrid strategy and dispatch of its events.

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
    pull::Puller,
    push::PushQueue,
    reachability::ReachabilityTable,
    startup::StartupGate,
    sync::Syncer,
    variant::{Scope, Variant},
    watch::PlatformSchedule,
};
use crate::{
    dissemination::{
        Action, Event, LinkClass, PlatformRequest, Strategy, config_replica::ConfigReplica,
    },
    id::{DomainId, InstanceId, RegionId},
    membership::{ChangeKind, Entry, Liveness, LocalRecord, Member, MemberList, View, precedence},
};

/// Time between two checks of deadlines that need no precision.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Longest delay between a change and the publication of the view that contains it.
const PUBLISH_DELAY: Duration = Duration::from_millis(10);
/// Characters of the digest of the installed version that each message carries.
const DIGEST_PREFIX_CHARACTERS: usize = 8;

/// The hybrid strategy of one node, which receives changes from its failure domain, from relays
/// and from the platform.
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
    pub(super) reachability: ReachabilityTable,
    /// Region of every failure domain seen so far; entries are never removed.
    pub(super) domain_regions: BTreeMap<DomainId, RegionId>,
    pub(super) replica: ConfigReplica,
    pub(super) links: Links,
    pub(super) push_queue: PushQueue,
    pub(super) prober: Prober,
    pub(super) pull: Puller,
    pub(super) startup_gate: StartupGate,
    pub(super) syncer: Syncer,
    pub(super) platform_schedule: PlatformSchedule,
    housekeeping_due: Instant,
    view: Arc<View>,
    published_change_number: u64,
    publish_due: Option<Instant>,
    actions: Vec<Action>,
}

impl Hybrid {
    /// Creates the strategy of a node that starts at `now` and joins through the peer addresses
    /// `seeds`.
    ///
    /// # Panics
    ///
    /// Panics when the address of `local_record` is not an IP address and port.
    #[must_use]
    pub fn new(
        local_record: LocalRecord,
        seeds: Vec<SocketAddr>,
        mut random: StdRng,
        now: Instant,
    ) -> Self {
        let record = local_record.record().clone();
        let address = record
            .address
            .parse()
            .expect("the address of the local record is an IP address and port");
        let domain_regions = BTreeMap::from([(record.domain.clone(), record.region.clone())]);
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
            platform_schedule: PlatformSchedule::new(&mut random, now),
            random,
            member_list,
            reachability: ReachabilityTable::default(),
            domain_regions,
            replica: ConfigReplica::default(),
            links: Links::default(),
            push_queue: PushQueue::default(),
            pull: Puller::default(),
            startup_gate: StartupGate::default(),
            housekeeping_due: now,
            view: Arc::default(),
            published_change_number: 0,
            publish_due: None,
            actions: Vec::new(),
        }
    }

    /// Selects another variant of the strategy.
    #[must_use]
    pub fn with_variant(mut self, variant: Variant) -> Self {
        self.variant = variant;
        self
    }

    /// Returns the entries of all nodes known to this node.
    #[must_use]
    pub fn member_list(&self) -> &MemberList {
        &self.member_list
    }

    /// Returns whether a node belongs to the scope of probes and pushes.
    pub(super) fn is_in_scope(&self, member: &Member) -> bool {
        self.variant.scope == Scope::Fleet || member.entry.record.domain == self.domain
    }

    /// Returns the other nodes of the scope that are not gone.
    pub(super) fn peers_in_scope(&self) -> impl Iterator<Item = &Member> {
        self.member_list.present().filter(|member| {
            self.is_in_scope(member) && member.entry.record.instance != self.instance
        })
    }

    pub(super) fn send(&mut self, to: SocketAddr, payload: impl Into<Payload>) {
        let head = self.replica.installed_head();
        let message = Message {
            from: self.address.to_string(),
            version: head.version,
            digest: head.digest.chars().take(DIGEST_PREFIX_CHARACTERS).collect(),
            payload: payload.into(),
        };
        let message = Box::new(message);
        let link_class = self
            .member_list
            .get_by_address(to)
            .map_or(LinkClass::Unknown, |member| {
                LinkClass::between(&self.domain, &self.region, &member.entry.record)
            });
        self.actions.push(Action::Send {
            to,
            message,
            link_class,
        });
    }

    pub(super) fn request_platform(&mut self, request: PlatformRequest) {
        self.actions.push(Action::Request(request));
    }

    pub(super) fn add_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Merges an entry and returns what it changed.
    ///
    /// A wrong entry about this node is refuted instead. That returns
    /// [`ChangeKind::None`], as the local record is queued separately.
    pub(super) fn merge_entry(&mut self, now: Instant, entry: Entry) -> ChangeKind {
        if entry.record.instance == self.instance && self.local_record.refute(&entry) {
            self.publish_local_record(now);
            return ChangeKind::None;
        }
        let record = &entry.record;
        let location = (record.domain.clone(), record.region.clone());
        let change = self.member_list.merge(now, entry);
        if change == ChangeKind::Base {
            self.domain_regions.insert(location.0, location.1);
        }
        change
    }

    /// Merges an entry and, if it changed anything, queues it for a push through the scope.
    pub(super) fn merge_and_queue(&mut self, now: Instant, entry: Entry) -> ChangeKind {
        let instance = entry.record.instance.clone();
        let change = self.merge_entry(now, entry);
        self.queue_change(now, &instance, change);
        change
    }

    /// Merges a reachability statement and returns whether it is newer than the held one.
    pub(super) fn merge_reachability(&mut self, reachability: Reachability) -> bool {
        let number = self.member_list.allocate_change_number();
        self.reachability.merge(reachability, number)
    }

    /// Merges the changed local record into the member list and queues it for a push.
    pub(super) fn publish_local_record(&mut self, now: Instant) {
        let entry = Entry {
            record: self.local_record.record().clone(),
            standing: Liveness::Alive,
        };
        let change = self.member_list.merge(now, entry);
        let instance = self.instance.clone();
        self.queue_change(now, &instance, change);
    }

    fn handle_timer(&mut self, now: Instant) {
        if now >= self.housekeeping_due {
            self.housekeeping_due = now + HOUSEKEEPING_INTERVAL;
            self.expire_members(now);
            self.update_links(now);
            self.handle_startup_timer(now);
        }
        self.handle_sync_timer(now);
        self.handle_watch_timer(now);
        self.handle_probe_timer(now);
        self.handle_pull_timer(now);
        self.handle_push_timer(now);
        self.handle_link_timer(now);
    }

    /// Marks suspected nodes of the scope as gone once their time to refute has passed, and removes
    /// nodes that have been gone for too long.
    fn expire_members(&mut self, now: Instant) {
        let gone = self
            .member_list
            .expired_suspects(now, |member| self.is_in_scope(member));
        for entry in gone {
            self.merge_and_queue(now, entry);
        }
        self.member_list.remove_expired(now);
    }

    /// Publishes the view at most [`PUBLISH_DELAY`] after a change.
    fn publish_view(&mut self, now: Instant) {
        if self.published_change_number == self.member_list.last_change_number() {
            return;
        }
        let due = *self.publish_due.get_or_insert(now + PUBLISH_DELAY);
        if due > now {
            return;
        }
        self.publish_due = None;
        self.published_change_number = self.member_list.last_change_number();
        let regions = &self.domain_regions;
        let reachable: BTreeMap<_, _> = regions
            .keys()
            .map(|domain| {
                let reachable = self
                    .reachability
                    .is_reachable(&self.domain, domain, regions);
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

    /// Returns whether the held entry has a higher stamp than `entry`; free slots do not count.
    pub(super) fn holds_newer(&self, entry: &Entry) -> bool {
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
            Event::Timer => self.handle_timer(now),
            Event::Announced(announcement) => {
                if self.local_record.apply_announcement(&announcement) {
                    self.publish_local_record(now);
                }
            }
            Event::AnnouncementTimeout => {
                if self.local_record.mark_gone() {
                    self.publish_local_record(now);
                }
            }
            Event::Stopping => {
                if self.local_record.start_stopping() {
                    self.publish_local_record(now);
                }
            }
            Event::Platform { request, response } => {
                self.handle_platform_response(now, &request, response);
            }
            Event::Message(message) => self.handle_message(now, *message),
            Event::Undelivered { to, message } => self.handle_undelivered(now, to, &message),
        }
        self.publish_view(now);
        std::mem::take(&mut self.actions)
    }

    fn deadline(&self) -> Instant {
        [
            Some(self.housekeeping_due),
            Some(self.syncer.deadline()),
            Some(self.platform_schedule.deadline()),
            Some(self.prober.deadline()),
            self.pull.deadline(),
            self.push_queue.deadline(),
            self.links.deadline(),
            self.publish_due,
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.housekeeping_due)
    }
}
