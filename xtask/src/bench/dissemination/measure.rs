//! Runs one way over one fleet.

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

use super::way::Way;

/// Largest fleet of today's shape; larger ones have that of the capacity page.
const TODAY_NODES: usize = 144;
/// Time in which the fleet starts and settles.
const WARM_UP: Duration = Duration::from_secs(40);
/// Length of each phase.
const PHASE: Duration = Duration::from_mins(1);
/// Step in which a phase is run.
const STEP: Duration = Duration::from_millis(50);
/// Mean time between two accepted versions.
const CHANGE_INTERVAL: Duration = Duration::from_secs(6);
/// Mean time between two changes of load of one upstream.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Share of the endpoints that change each second under churn.
const CHURN: f64 = 0.01;
/// Share of the endpoints that change each second in a storm.
const STORM: f64 = 0.1;
/// Largest load in thousandths.
const LOAD: u32 = 1000;
/// Slots of every service.
const SLOTS: u32 = 9;
/// Connections of every service.
const CONNECTIONS: u32 = 110;
/// Bytes of a page of memory.
const PAGE: u64 = 4096;

/// What was measured of one way over one fleet.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Result {
    /// Way of dissemination.
    pub(super) way: &'static str,
    /// Nodes of the fleet.
    pub(super) nodes: usize,
    /// Regions of the fleet.
    pub(super) regions: usize,
    /// Failure domains of each region.
    pub(super) domains: usize,
    /// Most reads of the platform in one second while all nodes start at once.
    pub(super) start_reads: u64,
    /// Most writes of the platform in one second while all nodes start at once.
    pub(super) start_writes: u64,
    /// Figures without churn.
    pub(super) idle: Figures,
    /// Figures while a hundredth of the endpoints changes each second.
    pub(super) churn: Figures,
    /// Figures while a tenth of the endpoints changes each second.
    pub(super) storm: Figures,
    /// Growth of resident memory for each node, in bytes, the fake network included.
    pub(super) memory: u64,
}

/// Figures of one phase.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Figures {
    /// Time from an acceptance until the version was in force, over nodes and versions.
    pub(super) convergence_ms: Percentiles,
    /// Pairs of a node and a version that were not in force at the end.
    pub(super) missed: u64,
    /// Time from a drain until no view offered the endpoint.
    pub(super) drain_ms: Percentiles,
    /// Bytes for each node and second by class of link.
    pub(super) bytes: BTreeMap<String, f64>,
    /// Bytes between regions for each node and second, those of the platform included.
    pub(super) across_regions: f64,
    /// Messages sent for each node and second.
    pub(super) messages: f64,
    /// Reads of the platform each second.
    pub(super) reads: f64,
    /// Writes of the platform each second.
    pub(super) writes: f64,
    /// Processor time of one node, in percent of a core.
    pub(super) processor: f64,
}

impl Figures {
    /// Returns the bytes of all classes for each node and second.
    pub(super) fn total(&self) -> f64 {
        self.bytes.values().sum()
    }
}

/// Measures a way.
pub(super) fn measure(way: Way, nodes: usize, seed: u64) -> Result {
    let (regions, domains) = if nodes > TODAY_NODES { (2, 8) } else { (3, 2) };
    let services = if nodes > TODAY_NODES { 35 } else { 3 };
    let resident = resident();
    let layout = Placement::new(regions, domains, nodes, services);
    let mut run = Run {
        fleet: Simulation::new(layout, seed, way.factory()),
        random: StdRng::seed_from_u64(seed),
        regions,
        domains,
        services,
        version: 0,
    };
    run.accept();
    let (start_reads, start_writes) = run.start();
    let idle = run.phase(0.0);
    let churn = run.phase(CHURN);
    let storm = run.phase(STORM);
    let grown = self::resident().saturating_sub(resident);
    Result {
        way: way.name(),
        nodes,
        regions,
        domains,
        start_reads,
        start_writes,
        idle,
        churn,
        storm,
        memory: grown / nodes as u64,
    }
}

struct Run {
    fleet: Simulation,
    random: StdRng,
    regions: usize,
    domains: usize,
    services: usize,
    version: VersionId,
}

impl Run {
    /// Starts all nodes at once and returns the most reads and writes in one second.
    fn start(&mut self) -> (u64, u64) {
        self.fleet.start_all(Duration::ZERO);
        let mut most = (0, 0);
        for _ in 0..WARM_UP.as_secs() {
            self.fleet.run_for(Duration::from_secs(1));
            let tally = std::mem::take(&mut self.fleet.traffic);
            most = (
                most.0.max(tally.platform_reads),
                most.1.max(tally.platform_writes),
            );
        }
        most
    }

    fn accept(&mut self) {
        self.version += 1;
        let snapshot = self.snapshot();
        self.fleet.platform.accept(self.version, &snapshot);
    }

    /// Returns a snapshot in which one service differs from version to version.
    fn snapshot(&self) -> Snapshot {
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

    fn phase(&mut self, churn: f64) -> Figures {
        let mut probe = Probe::default();
        self.fleet.traffic = TrafficStats::default();
        for node in &mut self.fleet.nodes {
            node.cpu_time = Duration::ZERO;
        }
        let until = self.fleet.now() + PHASE;
        while self.fleet.now() < until {
            if self.random.random_bool(share(STEP, CHANGE_INTERVAL)) {
                self.accept();
                probe.accepted.push((self.version, self.fleet.now()));
            }
            if churn > 0.0 {
                self.churn(churn, &mut probe);
            }
            self.fleet.run_for(STEP);
            probe.look(&self.fleet);
        }
        let tally = std::mem::take(&mut self.fleet.traffic);
        let busy = self.fleet.nodes.iter().map(|node| node.cpu_time).sum();
        // Versions accepted late in the phase have time to come into force.
        self.fleet.run_for(Duration::from_secs(10));
        probe.figures(&self.fleet, &tally, busy)
    }

    fn churn(&mut self, churn: f64, probe: &mut Probe) {
        for index in 0..self.fleet.nodes.len() {
            if self.random.random_bool(share(STEP, LOAD_INTERVAL)) {
                let phase = self.fleet.nodes[index].phase;
                let load = self.random.random_range(0..LOAD);
                self.fleet.announce(index, phase, load);
            }
            if self.random.random_bool(churn * STEP.as_secs_f64()) {
                self.change(index, probe);
            }
        }
    }

    /// Drains an endpoint, makes it ready again, or restarts its node.
    fn change(&mut self, index: usize, probe: &mut Probe) {
        if self.fleet.nodes[index].phase == Phase::Draining {
            self.fleet.announce(index, Phase::Ready, 0);
        } else if self.random.random_bool(0.5) {
            self.fleet.announce(index, Phase::Draining, 0);
            probe.drained(index, self.fleet.now());
        } else {
            self.fleet.kill(index);
            self.fleet.start(index);
            probe.restarted.push((index, self.fleet.now()));
        }
    }
}

/// What is watched during a phase.
#[derive(Debug, Default)]
struct Probe {
    accepted: Vec<(VersionId, Instant)>,
    restarted: Vec<(usize, Instant)>,
    draining: Option<(usize, Instant)>,
    drains_us: Vec<u64>,
}

impl Probe {
    fn drained(&mut self, index: usize, now: Instant) {
        self.draining.get_or_insert((index, now));
    }

    /// Notes whether the endpoint that drains is still offered anywhere.
    fn look(&mut self, fleet: &Simulation) {
        let Some((index, since)) = self.draining else {
            return;
        };
        let drained = &fleet.nodes[index];
        if drained.phase != Phase::Draining {
            self.draining = None;
            return;
        }
        let instance = &drained.spec.locality.instance;
        let offers = fleet.nodes.iter().any(|node| {
            let found = node
                .view
                .endpoints
                .binary_search_by(|endpoint| endpoint.instance.cmp(instance));
            found.is_ok_and(|at| node.view.endpoints[at].phase == Phase::Ready)
        });
        if !offers {
            self.draining = None;
            self.drains_us.push(micros(fleet.now() - since));
        }
    }

    fn figures(&self, fleet: &Simulation, tally: &TrafficStats, busy: Duration) -> Figures {
        let nodes = to_f64(fleet.nodes.len() as u64);
        let seconds = PHASE.as_secs_f64();
        let mut times = Vec::new();
        let mut missed = 0;
        for (version, at) in &self.accepted {
            for (index, node) in fleet.nodes.iter().enumerate() {
                // A restarted node starts without a version, which is another matter.
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
        let bytes = tally.bytes_by_link.iter();
        let far = tally
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
            across_regions: to_f64(far + tally.platform_cross_region_bytes) / nodes / seconds,
            messages: to_f64(tally.messages) / nodes / seconds,
            reads: to_f64(tally.platform_reads) / seconds,
            writes: to_f64(tally.platform_writes) / seconds,
            processor: busy.as_secs_f64() / nodes / seconds * 100.0,
        }
    }
}

fn share(step: Duration, interval: Duration) -> f64 {
    step.as_secs_f64() / interval.as_secs_f64()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Returns the resident memory of this process in bytes; 0 when unknown.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE
}
