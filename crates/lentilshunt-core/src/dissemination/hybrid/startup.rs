//! Holds back the first version until a newer one is ruled out.

use std::{
    collections::BTreeSet,
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use statig::prelude::*;

use super::core::Hybrid;
use crate::id::VersionId;

/// Nodes whose versions are compared when the platform does not answer.
const PEERS: usize = 3;
/// Longest wait for more nodes after the first one answered.
const PEERS_TIMEOUT: Duration = Duration::from_secs(2);

/// Decides when a starting node may put its first version in force.
pub(super) struct Start {
    machine: statig::blocking::StateMachine<Gate>,
}

impl fmt::Debug for Start {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Start").field(self.machine.state()).finish()
    }
}

impl Default for Start {
    fn default() -> Self {
        Self {
            machine: Gate::default().state_machine(),
        }
    }
}

impl Start {
    /// Returns whether versions may be put in force.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.machine.state(), State::Open {})
    }

    /// Returns the version below which nothing may be put in force.
    pub(super) fn floor(&self) -> VersionId {
        self.machine.inner().floor
    }
}

#[derive(Debug, Default)]
struct Gate {
    floor: VersionId,
    peers: BTreeSet<SocketAddr>,
    expires_at: Option<Instant>,
}

#[derive(Debug)]
enum Input {
    /// The platform named its newest version.
    Platform(VersionId),
    /// The platform did not answer.
    Failed,
    /// A node with a version in force sent a message at an instant.
    Peer(SocketAddr, Instant),
    /// Time passed.
    Time(Instant),
}

#[state_machine(initial = "State::asking_platform()", state(derive(Debug)))]
impl Gate {
    #[state]
    fn asking_platform(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Platform(version) => self.open_from(*version),
            Input::Failed => Transition(State::asking_peers()),
            Input::Peer(peer, now) => {
                self.note(*peer, *now);
                Handled
            }
            Input::Time(_) => Handled,
        }
    }

    #[state]
    fn asking_peers(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Platform(version) => return self.open_from(*version),
            Input::Peer(peer, now) => self.note(*peer, *now),
            Input::Failed | Input::Time(_) => {}
        }
        let expired = match event {
            Input::Time(now) => self.expires_at.is_some_and(|at| at <= *now),
            _ => false,
        };
        if expired || self.peers.len() >= PEERS {
            return Transition(State::open());
        }
        Handled
    }

    #[state]
    fn open(event: &Input) -> Outcome<State> {
        // Nothing closes the gate again.
        let _ = event;
        Handled
    }

    fn open_from(&mut self, version: VersionId) -> Outcome<State> {
        self.floor = version;
        Transition(State::open())
    }

    fn note(&mut self, peer: SocketAddr, now: Instant) {
        self.peers.insert(peer);
        self.expires_at.get_or_insert(now + PEERS_TIMEOUT);
    }
}

impl Hybrid {
    pub(super) fn start_timer(&mut self, now: Instant) {
        self.start_input(now, &Input::Time(now));
    }

    pub(super) fn start_heard(&mut self, now: Instant, from: SocketAddr, version: VersionId) {
        if version > 0 {
            self.start_input(now, &Input::Peer(from, now));
        }
    }

    /// Takes the platform's newest version, or none when it did not answer.
    pub(super) fn start_platform(&mut self, now: Instant, version: Option<VersionId>) {
        let input = version.map_or(Input::Failed, Input::Platform);
        self.start_input(now, &input);
    }

    fn start_input(&mut self, now: Instant, input: &Input) {
        if self.start.is_open() {
            return;
        }
        self.start.machine.handle(input);
        if self.start.is_open() {
            self.pull_highest(now);
        }
    }
}
