//! A fleet of nodes, its network and its platform.

mod queue;
mod size;
mod step;
mod traffic;

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    dissemination::{Event, Strategy},
    membership::{Announcement, LocalRecord, Phase},
};
use rand::{SeedableRng, rngs::StdRng};

use crate::{Cut, Node, NodeSpec, Placement, Platform, TrafficStats, delivery::Delivery};

/// Longest wait for an answer of a node or the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Slots of every upstream.
const SLOTS: u32 = 9;

/// Builds the strategy of a starting node.
pub type StrategyFactory =
    Box<dyn Fn(LocalRecord, Vec<SocketAddr>, StdRng, Instant) -> Box<dyn Strategy>>;

/// Nodes that exchange messages in virtual time.
pub struct Simulation {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The platform.
    pub platform: Platform,
    /// Directions that are cut.
    pub cuts: Vec<Cut>,
    /// Largest additional delay of a message; reorders messages.
    pub max_extra_delay: Duration,
    /// Share of messages between nodes that arrive twice.
    pub duplicate_probability: f64,
    /// Counts of traffic.
    pub traffic: TrafficStats,
    factory: StrategyFactory,
    now: Instant,
    start: Instant,
    queue: BTreeMap<(Instant, u64), Delivery>,
    last_delivery_id: u64,
    addresses: HashMap<SocketAddr, usize>,
    random: StdRng,
    seed: u64,
}

impl fmt::Debug for Simulation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Simulation")
            .field("nodes", &self.nodes.len())
            .field("elapsed", &self.elapsed())
            .finish_non_exhaustive()
    }
}

impl Simulation {
    /// Creates a fleet in which no node runs yet.
    #[must_use]
    pub fn new(placement: Placement, seed: u64, factory: StrategyFactory) -> Self {
        let now = Instant::now();
        let specs = placement.nodes.iter().enumerate();
        let addresses = specs.map(|(index, spec)| (spec.address, index)).collect();
        Self {
            nodes: placement.nodes.into_iter().map(Node::new).collect(),
            platform: Platform::default(),
            cuts: Vec::new(),
            max_extra_delay: Duration::ZERO,
            duplicate_probability: 0.0,
            traffic: TrafficStats::default(),
            factory,
            now,
            start: now,
            queue: BTreeMap::new(),
            last_delivery_id: 0,
            addresses,
            random: StdRng::seed_from_u64(seed),
            seed,
        }
    }

    /// Returns the virtual time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the virtual time since the fleet was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Starts the process of a node, and its upstream half a second later at most.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn start(&mut self, index: usize) {
        let elapsed = u64::try_from(self.elapsed().as_micros()).expect("a short run");
        let node = &mut self.nodes[index];
        node.incarnation = (elapsed + 1).max(node.incarnation + 1);
        node.deferred = None;
        node.version = 0;
        node.view = std::sync::Arc::default();
        let spec = node.spec.clone();
        let local_record =
            LocalRecord::new(&spec.locality, spec.address.to_string(), node.incarnation);
        let seed = self.seed ^ (node.incarnation << 16) ^ index as u64;
        let random = StdRng::seed_from_u64(seed);
        node.strategy = Some((self.factory)(local_record, spec.seeds, random, self.now));
        self.handle_event(index, Event::Timer, None);
        self.announce(index, Phase::Ready, 0);
    }

    /// Starts all nodes within a time.
    pub fn start_all(&mut self, within: Duration) {
        let from = self.now;
        for index in 0..self.nodes.len() {
            let share = u32::try_from(index).unwrap_or(u32::MAX);
            let nodes = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
            self.run_until(from + within * share / nodes);
            self.start(index);
        }
    }

    /// Kills the process of a node.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.strategy = None;
        node.deferred = None;
    }

    /// Moves a killed node to another address.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn relocate(&mut self, index: usize, address: SocketAddr) {
        let spec = &mut self.nodes[index].spec;
        self.addresses.remove(&spec.address);
        spec.address = address;
        self.addresses.insert(address, index);
    }

    /// Pauses the process of a node.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].deferred = Some(Vec::new());
    }

    /// Wakes a paused process, which first takes what arrived meanwhile.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn resume(&mut self, index: usize) {
        let held = self.nodes[index].deferred.take().unwrap_or_default();
        self.handle_event(index, Event::Timer, None);
        for delivery in held {
            self.deliver(delivery);
        }
    }

    /// Has the upstream of a node announce itself.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn announce(&mut self, index: usize, phase: Phase, load: u32) {
        let node = &mut self.nodes[index];
        node.phase = phase;
        let announcement = Announcement {
            instance: node.spec.locality.instance.clone(),
            service: node.spec.service.clone(),
            address: node.spec.address.to_string(),
            incarnation: node.incarnation,
            phase,
            slots: SLOTS,
            connections: SLOTS,
            load,
            healthy: true,
        };
        self.handle_event(index, Event::Announced(announcement), None);
    }

    /// Runs the fleet for a time.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Runs the fleet until an instant.
    pub fn run_until(&mut self, until: Instant) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), delivery) = entry.remove_entry();
            self.now = at;
            self.deliver(delivery);
        }
        self.now = self.now.max(until);
    }

    /// Returns the specs of the nodes that run.
    pub fn running(&self) -> impl Iterator<Item = &NodeSpec> {
        let running = self.nodes.iter().filter(|node| node.is_up());
        running.map(|node| &node.spec)
    }
}
