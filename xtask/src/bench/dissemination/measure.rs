//! Measures one strategy with one fleet.

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    config::Snapshot, dissemination::LinkClass, id::VersionId, membership::Phase,
};
use lentilshunt_fake::{Placement, Simulation, TrafficStats};
use lentilshunt_load::report::Percentiles;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;

use super::strategy_kind::StrategyKind;

/// Largest fleet with today's topology; larger fleets have that of the capacity page.
const MAX_NODES_TODAY: usize = 144;
/// Time for the fleet to start and converge.
const WARM_UP_TIME: Duration = Duration::from_secs(40);
/// Duration of each phase.
const PHASE_DURATION: Duration = Duration::from_mins(1);
/// Step of virtual time.
const STEP_DURATION: Duration = Duration::from_millis(50);
/// Mean time between accepted versions.
const CHANGE_INTERVAL: Duration = Duration::from_secs(6);
/// Mean time between load changes of an upstream.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Ratio of the endpoints that change per second under churn.
const CHURN_PER_SECOND: f64 = 0.01;
/// Ratio of the endpoints that change per second in a storm.
const STORM_PER_SECOND: f64 = 0.1;
/// Exclusive upper bound of the load, in thousandths.
const MAX_LOAD_PERMILLE: u32 = 1000;
/// Slots of every service.
const SLOTS: u32 = 9;
/// Connections of every service.
const CONNECTIONS: u32 = 110;
/// Size of a memory page.
const PAGE_BYTES: u64 = 4096;

/// Results of one strategy with one fleet.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Measurement {
    /// Strategy of dissemination.
    pub(super) way: &'static str,
    /// Number of nodes.
    pub(super) nodes: usize,
    /// Number of regions.
    pub(super) regions: usize,
    /// Number of failure domains of each region.
    pub(super) domains: usize,
    /// Maximum platform reads per second while all nodes start at once.
    pub(super) start_reads: u64,
    /// Maximum platform writes per second while all nodes start at once.
    pub(super) start_writes: u64,
    /// Figures without churn.
    pub(super) idle: Figures,
    /// Figures while 1 % of the endpoints change per second.
    pub(super) churn: Figures,
    /// Figures while 10 % of the endpoints change per second.
    pub(super) storm: Figures,
    /// Growth of resident memory per node in bytes, including the simulated network.
    pub(super) memory: u64,
}

/// Figures of one phase.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Figures {
    /// Time from the acceptance of a version until it is in force, over nodes and versions.
    pub(super) convergence_ms: Percentiles,
    /// Number of pairs of node and version in which the version was not in force at the end.
    pub(super) missed: u64,
    /// Time from the start of a drain until no node lists the endpoint as ready.
    pub(super) drain_ms: Percentiles,
    /// Bytes per node and second by link class.
    pub(super) bytes: BTreeMap<String, f64>,
    /// Bytes between regions per node and second, including those of the platform.
    pub(super) across_regions: f64,
    /// Messages sent per node and second.
    pub(super) messages: f64,
    /// Platform reads per second.
    pub(super) reads: f64,
    /// Platform writes per second.
    pub(super) writes: f64,
    /// CPU time of one node, in percent of a core.
    pub(super) processor: f64,
}

impl Figures {
    /// Returns the bytes of all link classes per node and second.
    pub(super) fn total(&self) -> f64 {
        self.bytes.values().sum()
    }
}

/// Measures a strategy.
pub(super) fn measure(strategy: StrategyKind, nodes: usize, seed: u64) -> Measurement {
    let (regions, domains) = if nodes > MAX_NODES_TODAY {
        (2, 8)
    } else {
        (3, 2)
    };
    let services = if nodes > MAX_NODES_TODAY { 35 } else { 3 };
    let initial_bytes = resident_bytes();
    let placement = Placement::new(regions, domains, nodes, services);
    let mut bench = Bench {
        fleet: Simulation::new(placement, seed, strategy.factory()),
        random: StdRng::seed_from_u64(seed),
        regions,
        domains,
        services,
        version: 0,
    };
    bench.accept_version();
    let (start_reads, start_writes) = bench.start();
    let idle = bench.run_phase(0.0);
    let churn = bench.run_phase(CHURN_PER_SECOND);
    let storm = bench.run_phase(STORM_PER_SECOND);
    let memory_growth = resident_bytes().saturating_sub(initial_bytes);
    Measurement {
        way: strategy.name(),
        nodes,
        regions,
        domains,
        start_reads,
        start_writes,
        idle,
        churn,
        storm,
        memory: memory_growth / nodes as u64,
    }
}

struct Bench {
    fleet: Simulation,
    random: StdRng,
    regions: usize,
    domains: usize,
    services: usize,
    version: VersionId,
}

impl Bench {
    /// Starts all nodes at once and returns the maximum platform reads and writes per second.
    fn start(&mut self) -> (u64, u64) {
        self.fleet.start_all(Duration::ZERO);
        let mut maximum = (0, 0);
        for _ in 0..WARM_UP_TIME.as_secs() {
            self.fleet.run_for(Duration::from_secs(1));
            let traffic = std::mem::take(&mut self.fleet.traffic);
            maximum = (
                maximum.0.max(traffic.platform_reads),
                maximum.1.max(traffic.platform_writes),
            );
        }
        maximum
    }

    fn accept_version(&mut self) {
        self.version += 1;
        let snapshot = self.build_snapshot();
        self.fleet.platform.accept(self.version, &snapshot);
    }

    /// Returns a snapshot in which the callers of every service depend on the version.
    fn build_snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        for region in 0..self.regions {
            let name = format!("region-{region}");
            snapshot.topology.regions.insert(name.clone());
            for domain in 0..self.domains {
                let domain = format!("domain-{region}-{domain}");
                snapshot.topology.domains.insert(domain, name.clone());
            }
        }
        for service in 0..self.services {
            let name = format!("service-{service}");
            let service = snapshot.services.entry(name).or_default();
            service.slots = SLOTS;
            service.connections = CONNECTIONS;
            service.callers.insert(format!("caller-{}", self.version));
        }
        snapshot
    }

    fn run_phase(&mut self, churn: f64) -> Figures {
        let mut observer = Observer::default();
        self.fleet.traffic = TrafficStats::default();
        for node in &mut self.fleet.nodes {
            node.cpu_time = Duration::ZERO;
        }
        let ends_at = self.fleet.now() + PHASE_DURATION;
        while self.fleet.now() < ends_at {
            if self
                .random
                .random_bool(step_probability(STEP_DURATION, CHANGE_INTERVAL))
            {
                self.accept_version();
                observer.accepted.push((self.version, self.fleet.now()));
            }
            if churn > 0.0 {
                self.apply_churn(churn, &mut observer);
            }
            self.fleet.run_for(STEP_DURATION);
            observer.observe(&self.fleet);
        }
        let traffic = std::mem::take(&mut self.fleet.traffic);
        let cpu_time = self.fleet.nodes.iter().map(|node| node.cpu_time).sum();
        // Gives versions accepted at the end of the phase time to come into force.
        self.fleet.run_for(Duration::from_secs(10));
        observer.figures(&self.fleet, &traffic, cpu_time)
    }

    fn apply_churn(&mut self, churn: f64, observer: &mut Observer) {
        for index in 0..self.fleet.nodes.len() {
            if self
                .random
                .random_bool(step_probability(STEP_DURATION, LOAD_INTERVAL))
            {
                let phase = self.fleet.nodes[index].phase;
                let load = self.random.random_range(0..MAX_LOAD_PERMILLE);
                self.fleet.announce(index, phase, load);
            }
            if self.random.random_bool(churn * STEP_DURATION.as_secs_f64()) {
                self.change_endpoint(index, observer);
            }
        }
    }

    /// Drains an endpoint, makes it ready again, or restarts its node.
    fn change_endpoint(&mut self, index: usize, observer: &mut Observer) {
        if self.fleet.nodes[index].phase == Phase::Draining {
            self.fleet.announce(index, Phase::Ready, 0);
        } else if self.random.random_bool(0.5) {
            self.fleet.announce(index, Phase::Draining, 0);
            observer.record_drain(index, self.fleet.now());
        } else {
            self.fleet.kill(index);
            self.fleet.start(index);
            observer.restarted.push((index, self.fleet.now()));
        }
    }
}

/// Observations during a phase.
#[derive(Debug, Default)]
struct Observer {
    accepted: Vec<(VersionId, Instant)>,
    restarted: Vec<(usize, Instant)>,
    draining: Option<(usize, Instant)>,
    drains_us: Vec<u64>,
}

impl Observer {
    fn record_drain(&mut self, index: usize, now: Instant) {
        self.draining.get_or_insert((index, now));
    }

    /// Checks whether any node still lists the draining endpoint as ready.
    fn observe(&mut self, fleet: &Simulation) {
        let Some((index, since)) = self.draining else {
            return;
        };
        let drained = &fleet.nodes[index];
        if drained.phase != Phase::Draining {
            self.draining = None;
            return;
        }
        let instance = &drained.spec.locality.instance;
        let is_listed = fleet.nodes.iter().any(|node| {
            let found = node
                .view
                .endpoints
                .binary_search_by(|endpoint| endpoint.instance.cmp(instance));
            found.is_ok_and(|at| node.view.endpoints[at].phase == Phase::Ready)
        });
        if !is_listed {
            self.draining = None;
            self.drains_us.push(micros(fleet.now() - since));
        }
    }

    fn figures(&self, fleet: &Simulation, traffic: &TrafficStats, cpu_time: Duration) -> Figures {
        let nodes = to_f64(fleet.nodes.len() as u64);
        let seconds = PHASE_DURATION.as_secs_f64();
        let mut times = Vec::new();
        let mut missed = 0;
        for (version, at) in &self.accepted {
            for (index, node) in fleet.nodes.iter().enumerate() {
                // A node that restarted after the acceptance starts without a version; skip it.
                let restarted = |(other, when): &(usize, Instant)| *other == index && when > at;
                if self.restarted.iter().any(restarted) {
                    continue;
                }
                let reached = |(_, installed): &&(Instant, VersionId)| installed >= version;
                match node.installed.iter().find(reached) {
                    Some((when, _)) => times.push(micros(when.saturating_duration_since(*at))),
                    None => missed += 1,
                }
            }
        }
        let bytes = traffic.bytes_by_link.iter();
        let cross_region_bytes = traffic
            .bytes_by_link
            .get(&LinkClass::OtherRegion)
            .copied()
            .unwrap_or(0);
        Figures {
            convergence_ms: Percentiles::from_us(times),
            missed,
            drain_ms: Percentiles::from_us(self.drains_us.iter().copied()),
            bytes: bytes
                .map(|(link, bytes)| (link.to_string(), to_f64(*bytes) / nodes / seconds))
                .collect(),
            across_regions: to_f64(cross_region_bytes + traffic.platform_cross_region_bytes)
                / nodes
                / seconds,
            messages: to_f64(traffic.messages) / nodes / seconds,
            reads: to_f64(traffic.platform_reads) / seconds,
            writes: to_f64(traffic.platform_writes) / seconds,
            processor: cpu_time.as_secs_f64() / nodes / seconds * 100.0,
        }
    }
}

fn step_probability(step: Duration, interval: Duration) -> f64 {
    step.as_secs_f64() / interval.as_secs_f64()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Returns the resident memory of this process; 0 when unknown.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
