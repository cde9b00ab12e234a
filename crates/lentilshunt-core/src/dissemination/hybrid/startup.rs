//! Delays the first installation until the platform, or enough peers, reported their versions.

use std::{
    collections::BTreeSet,
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use statig::prelude::*;

use super::core::Hybrid;
use crate::id::VersionId;

/// Number of peers with a version that open the gate when the platform does not respond.
const REQUIRED_PEERS: usize = 3;
/// Longest wait for further peers after the first message from one.
const PEERS_TIMEOUT: Duration = Duration::from_secs(2);

/// Decides when a starting node may install its first version.
pub(super) struct StartupGate {
    machine: statig::blocking::StateMachine<GateMachine>,
}

impl fmt::Debug for StartupGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("StartupGate")
            .field(self.machine.state())
            .finish()
    }
}

impl Default for StartupGate {
    fn default() -> Self {
        Self {
            machine: GateMachine::default().state_machine(),
        }
    }
}

impl StartupGate {
    /// Returns whether versions may be installed.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.machine.state(), State::Open {})
    }

    /// Returns the lowest version that may be installed.
    pub(super) fn min_version(&self) -> VersionId {
        self.machine.inner().min_version
    }
}

/// State machine of the gate: awaits the platform, then messages of peers, then opens.
#[derive(Debug, Default)]
struct GateMachine {
    min_version: VersionId,
    peers: BTreeSet<SocketAddr>,
    peers_deadline: Option<Instant>,
}

/// Event that the state machine of the gate handles.
#[derive(Debug)]
enum GateEvent {
    /// The platform returned its newest version.
    Platform(VersionId),
    /// The platform did not respond.
    PlatformFailed,
    /// A peer with a version in force sent a message at an instant.
    Peer(SocketAddr, Instant),
    /// The housekeeping timer fired.
    Timer(Instant),
}

#[state_machine(initial = "State::awaiting_platform()", state(derive(Debug)))]
impl GateMachine {
    #[state]
    fn awaiting_platform(&mut self, event: &GateEvent) -> Outcome<State> {
        match event {
            GateEvent::Platform(version) => self.open_from(*version),
            GateEvent::PlatformFailed => Transition(State::awaiting_peers()),
            GateEvent::Peer(peer, now) => {
                self.add_peer(*peer, *now);
                Handled
            }
            GateEvent::Timer(_) => Handled,
        }
    }

    #[state]
    fn awaiting_peers(&mut self, event: &GateEvent) -> Outcome<State> {
        match event {
            GateEvent::Platform(version) => return self.open_from(*version),
            GateEvent::Peer(peer, now) => self.add_peer(*peer, *now),
            GateEvent::PlatformFailed | GateEvent::Timer(_) => {}
        }
        let expired = match event {
            GateEvent::Timer(now) => self.peers_deadline.is_some_and(|at| at <= *now),
            _ => false,
        };
        if expired || self.peers.len() >= REQUIRED_PEERS {
            return Transition(State::open());
        }
        Handled
    }

    #[state]
    fn open(event: &GateEvent) -> Outcome<State> {
        // The gate never closes again.
        let _ = event;
        Handled
    }

    fn open_from(&mut self, version: VersionId) -> Outcome<State> {
        self.min_version = version;
        Transition(State::open())
    }

    fn add_peer(&mut self, peer: SocketAddr, now: Instant) {
        self.peers.insert(peer);
        self.peers_deadline.get_or_insert(now + PEERS_TIMEOUT);
    }
}

impl Hybrid {
    pub(super) fn handle_startup_timer(&mut self, now: Instant) {
        self.handle_startup_event(now, &GateEvent::Timer(now));
    }

    pub(super) fn record_startup_peer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        version: VersionId,
    ) {
        if version > 0 {
            self.handle_startup_event(now, &GateEvent::Peer(from, now));
        }
    }

    /// Handles the newest version of the platform, or none when it did not respond.
    pub(super) fn record_startup_head_version(&mut self, now: Instant, version: Option<VersionId>) {
        let event = version.map_or(GateEvent::PlatformFailed, GateEvent::Platform);
        self.handle_startup_event(now, &event);
    }

    fn handle_startup_event(&mut self, now: Instant, event: &GateEvent) {
        if self.startup_gate.is_open() {
            return;
        }
        self.startup_gate.machine.handle(event);
        if self.startup_gate.is_open() {
            self.pull_highest(now);
        }
    }
}
