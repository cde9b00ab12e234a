//! Forwarded addresses and the directions between failure domains.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use lentilshunt_schema::platform;

use super::{
    direction::Direction,
    forward::{Forward, run},
};

/// Forwards and directions, shared by all connections.
#[derive(Debug, Default)]
pub struct Topology {
    state: Mutex<State>,
    serial: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    forwards: BTreeSet<SocketAddr>,
    sources: BTreeMap<IpAddr, String>,
    directions: BTreeMap<(String, String), Arc<Direction>>,
}

impl Topology {
    /// Adds forwards and sources, and starts to relay.
    ///
    /// Returns `None`, and adds nothing, when an address is malformed.
    #[must_use]
    pub fn add_links(self: &Arc<Self>, links: &platform::Links) -> Option<()> {
        let forwards: Option<Vec<_>> = links.forwards.iter().map(parse_forward).collect();
        let sources = links.sources.iter();
        let sources: Option<Vec<_>> = sources
            .map(|source| Some((source.ip.parse().ok()?, source.domain.clone())))
            .collect();
        let (forwards, sources) = (forwards?, sources?);
        let mut state = self.lock();
        state.sources.extend(sources);
        for forward in forwards {
            if state.forwards.insert(forward.listen) {
                tokio::spawn(run(forward, Arc::clone(self)));
            }
        }
        Some(())
    }

    /// Sets latency and mode of one direction, and silences its open connections on request.
    pub fn set_direction(&self, requested: &platform::Direction) {
        let direction = self.direction(&requested.from, &requested.to);
        direction.set(requested.delay_us, requested.cut);
        if requested.silence {
            direction.silence(self.next_serial());
        }
    }

    /// Returns the failure domain of an IP; empty when unknown.
    pub(super) fn domain(&self, ip: IpAddr) -> String {
        self.lock().sources.get(&ip).cloned().unwrap_or_default()
    }

    pub(super) fn direction(&self, from: &str, to: &str) -> Arc<Direction> {
        let mut state = self.lock();
        let direction = state
            .directions
            .entry((from.to_owned(), to.to_owned()))
            .or_insert_with(|| Arc::new(Direction::new()));
        Arc::clone(direction)
    }

    pub(super) fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse_forward(forward: &platform::Forward) -> Option<Forward> {
    Some(Forward {
        listen: forward.listen.parse().ok()?,
        target: forward.target.parse().ok()?,
        domain: forward.domain.clone(),
    })
}
