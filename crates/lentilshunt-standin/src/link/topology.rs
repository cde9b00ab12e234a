//! Which addresses are forwarded, and the directions between failure domains.

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

/// All forwards and directions, shared by the connections.
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
    /// Adds forwards and sources, and starts to listen.
    ///
    /// Returns none when an address is malformed; then nothing is added.
    #[must_use]
    pub fn add(self: &Arc<Self>, links: &platform::Links) -> Option<()> {
        let forwards: Option<Vec<_>> = links.forwards.iter().map(forward).collect();
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

    /// Sets one direction.
    pub fn set(&self, wanted: &platform::Direction) {
        let direction = self.direction(&wanted.from, &wanted.to);
        direction.set(wanted.delay_us, wanted.cut);
        if wanted.silence {
            direction.silence(self.next_serial());
        }
    }

    /// Returns the failure domain that an IP belongs to; empty when it is not known.
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

fn forward(forward: &platform::Forward) -> Option<Forward> {
    Some(Forward {
        listen: forward.listen.parse().ok()?,
        target: forward.target.parse().ok()?,
        domain: forward.domain.clone(),
    })
}
