//! Event loop and control interface of the simulation.

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

/// Time after which an unanswered request to a node or the platform fails.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Concurrent requests that every upstream accepts.
const SLOTS: u32 = 9;

/// Creates the strategy of a node at its start.
pub type StrategyFactory =
    Box<dyn Fn(LocalRecord, Vec<SocketAddr>, StdRng, Instant) -> Box<dyn Strategy>>;

/// Fleet of nodes that exchange messages in virtual time.
pub struct Simulation {
    /// Nodes in the order of their placement.
    pub nodes: Vec<Node>,
    /// Platform that all nodes use.
    pub platform: Platform,
    /// Directions in which messages are dropped.
    pub cuts: Vec<Cut>,
    /// Upper bound of a random extra delay of each message, which reorders messages.
    pub max_extra_delay: Duration,
    /// Probability that a message between nodes is delivered twice.
    pub duplicate_probability: f64,
    /// Traffic counters.
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
    /// Creates a simulation in which no node is running.
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

    /// Returns the current virtual time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the virtual time since the simulation was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Starts a new incarnation of a node and announces its upstream as ready.
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of range.
    pub fn start(&mut self, index: usize) {
        let elapsed = u64::try_from(self.elapsed().as_micros())
            .expect("the virtual time in microseconds fits in 64 bits");
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

    /// Starts all nodes at even intervals within a duration.
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
    /// Panics if `index` is out of range.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.strategy = None;
        node.deferred = None;
    }

    /// Moves a killed node to another address.
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of range.
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
    /// Panics if `index` is out of range.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].deferred = Some(Vec::new());
    }

    /// Resumes a paused process: its timer fires, then it handles the deferred deliveries.
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of range.
    pub fn resume(&mut self, index: usize) {
        let held = self.nodes[index].deferred.take().unwrap_or_default();
        self.handle_event(index, Event::Timer, None);
        for delivery in held {
            self.deliver(delivery);
        }
    }

    /// Announces the upstream of a node with a phase and load.
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of range.
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

    /// Runs the simulation for a duration.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Runs the simulation until an instant.
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

    /// Returns the specs of the running nodes.
    pub fn running(&self) -> impl Iterator<Item = &NodeSpec> {
        let running = self.nodes.iter().filter(|node| node.is_up());
        running.map(|node| &node.spec)
    }
}
