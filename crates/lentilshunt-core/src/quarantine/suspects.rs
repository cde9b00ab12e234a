//! Tracks suspects and quarantined requests.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;

use super::{Fingerprint, Suspicion, recently_completed::RecentlyCompleted};
use crate::{id::InstanceId, membership::Endpoint, routing::ServiceRoute};

/// Time after the last recorded loss, or after a quarantined request last came, at which a request
/// stops being a suspect or quarantined.
const SUSPICION_LIFETIME: Duration = Duration::from_mins(2);
/// Remaining time of a quarantine below which a request that comes again extends it.
const RENEWAL_TIME: Duration = Duration::from_mins(1);
/// Time within which repeated losses of an upstream count as one.
const SAME_LOSS_WINDOW: Duration = Duration::from_secs(2);
/// Number of losses that quarantine a request.
const LOSSES_TO_QUARANTINE: usize = 2;
/// Maximum number of suspect and quarantined requests.
const MAX_SUSPECTS: usize = 4096;

/// Restriction on where a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// The request may run on any upstream.
    Clear,
    /// The request is a suspect and may run on one upstream only.
    Suspect,
    /// The request may not run.
    Quarantined,
}

/// Suspect and quarantined requests, each with the losses that occurred while it was
/// in flight.
#[derive(Debug)]
pub struct Suspects {
    suspects: ArcSwap<HashMap<Fingerprint, Suspect>>,
    recently_completed: RecentlyCompleted,
}

/// Losses that occurred while one request was in flight.
#[derive(Clone, Debug)]
struct Suspect {
    losses: Vec<Loss>,
    expires_at: Instant,
}

/// One loss of an upstream.
#[derive(Clone, Debug)]
struct Loss {
    instance: InstanceId,
    repeat: u8,
    /// Instant until which a further loss of this upstream counts as this one.
    duplicate_until: Instant,
}

impl Suspects {
    /// Creates a set without suspects; later calls must not pass an instant before `origin`.
    #[must_use]
    pub fn new(origin: Instant) -> Self {
        Self {
            suspects: ArcSwap::default(),
            recently_completed: RecentlyCompleted::new(origin),
        }
    }

    /// Returns the restriction on where a request may run.
    #[must_use]
    pub fn status(&self, request: Fingerprint, now: Instant) -> QuarantineStatus {
        let suspects = self.suspects.load();
        match suspects.get(&request) {
            Some(suspect) if suspect.expires_at > now => suspect.status(),
            _ => QuarantineStatus::Clear,
        }
    }

    /// Records the loss of an upstream with a request in flight.
    ///
    /// Returns the suspicion to report to other nodes, or none if the request
    /// completed recently or the loss is already recorded. The suspicion is returned
    /// even if a limit prevents recording it here.
    pub fn record_loss(
        &self,
        request: Fingerprint,
        instance: &InstanceId,
        now: Instant,
    ) -> Option<Suspicion> {
        if self.recently_completed.contains(request, now) {
            return None;
        }
        let suspects = self.suspects.load();
        let losses = suspects
            .get(&request)
            .map_or(&[][..], |suspect| &suspect.losses);
        let earlier = losses.iter().filter(|loss| loss.instance == *instance);
        let last = earlier.max_by_key(|loss| loss.repeat);
        if last.is_some_and(|loss| loss.duplicate_until > now) {
            return None;
        }
        let suspicion = Suspicion {
            request,
            instance: instance.clone(),
            repeat: last.map_or(0, |loss| loss.repeat.saturating_add(1)),
        };
        self.merge(&suspicion, now);
        Some(suspicion)
    }

    /// Merges a suspicion of this or another node.
    ///
    /// One that is known already extends the time of the restriction.
    pub fn merge(&self, suspicion: &Suspicion, now: Instant) {
        if self.recently_completed.contains(suspicion.request, now) {
            return;
        }
        self.suspects.rcu(|suspects| {
            let mut suspects = HashMap::clone(suspects);
            suspects.retain(|_, suspect| suspect.expires_at > now);
            if suspects.len() < MAX_SUSPECTS || suspects.contains_key(&suspicion.request) {
                let suspect = suspects
                    .entry(suspicion.request)
                    .or_insert_with(|| Suspect {
                        losses: Vec::new(),
                        expires_at: now + SUSPICION_LIFETIME,
                    });
                suspect.merge(suspicion, now);
            }
            suspects
        });
    }

    /// Extends the quarantine of a request that has come again, if little of its time remains.
    ///
    /// Returns the suspicions to report to other nodes, or none if the quarantine was not extended.
    pub fn extend_quarantine(&self, request: Fingerprint, now: Instant) -> Vec<Suspicion> {
        let is_due = {
            let suspects = self.suspects.load();
            suspects.get(&request).is_some_and(|suspect| {
                let is_active = suspect.is_quarantined() && suspect.expires_at > now;
                is_active && suspect.expires_at < now + RENEWAL_TIME
            })
        };
        if !is_due {
            return Vec::new();
        }
        let suspicions = self.suspicions(request, now);
        for suspicion in &suspicions {
            self.merge(suspicion, now);
        }
        suspicions
    }

    /// Returns the suspicions of a request.
    #[must_use]
    pub fn suspicions(&self, request: Fingerprint, now: Instant) -> Vec<Suspicion> {
        let suspects = self.suspects.load();
        let suspect = suspects.get(&request);
        let active = suspect.filter(|suspect| suspect.expires_at > now);
        active.map_or_else(Vec::new, |suspect| suspect.suspicions(request))
    }

    /// Returns the suspicions of each quarantined request.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> Vec<(Fingerprint, Vec<Suspicion>)> {
        let suspects = self.suspects.load();
        suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_quarantined() && suspect.expires_at > now)
            .map(|(request, suspect)| (*request, suspect.suspicions(*request)))
            .collect()
    }

    /// Clears a request that received a complete response.
    pub fn clear(&self, request: Fingerprint, now: Instant) {
        self.recently_completed.insert(request, now);
        if !self.suspects.load().contains_key(&request) {
            return;
        }
        self.suspects.rcu(|suspects| {
            let mut suspects = HashMap::clone(suspects);
            suspects.remove(&request);
            suspects
        });
    }

    /// Chooses the only endpoint that a suspect may still run on.
    ///
    /// All nodes with the same route and suspicions choose the same endpoint, so
    /// that repeats through other nodes do not run on a third upstream. If every
    /// endpoint was lost with the request in flight, the nearest one is chosen.
    #[must_use]
    pub fn choose_suspect_endpoint(
        &self,
        request: Fingerprint,
        route: &ServiceRoute,
    ) -> Option<Arc<Endpoint>> {
        let suspects = self.suspects.load();
        let losses = suspects
            .get(&request)
            .map_or(&[][..], |suspect| &suspect.losses);
        let is_lost = |endpoint: &&Arc<Endpoint>| {
            losses.iter().any(|loss| loss.instance == endpoint.instance)
        };
        let others = route.endpoints().filter(|endpoint| !is_lost(endpoint));
        let chosen = others.max_by_key(|endpoint| rendezvous_weight(request, endpoint));
        chosen.or_else(|| route.endpoints().next()).map(Arc::clone)
    }
}

impl Suspect {
    fn status(&self) -> QuarantineStatus {
        if self.is_quarantined() {
            QuarantineStatus::Quarantined
        } else {
            QuarantineStatus::Suspect
        }
    }

    fn is_quarantined(&self) -> bool {
        self.losses.len() >= LOSSES_TO_QUARANTINE
    }

    fn suspicions(&self, request: Fingerprint) -> Vec<Suspicion> {
        let suspicion = |loss: &Loss| Suspicion {
            request,
            instance: loss.instance.clone(),
            repeat: loss.repeat,
        };
        self.losses.iter().map(suspicion).collect()
    }

    fn merge(&mut self, suspicion: &Suspicion, now: Instant) {
        let is_recorded =
            |loss: &Loss| loss.instance == suspicion.instance && loss.repeat == suspicion.repeat;
        self.expires_at = now + SUSPICION_LIFETIME;
        if self.losses.iter().any(is_recorded) || self.is_quarantined() {
            return;
        }
        self.losses.push(Loss {
            instance: suspicion.instance.clone(),
            repeat: suspicion.repeat,
            duplicate_until: now + SAME_LOSS_WINDOW,
        });
    }
}

/// Returns the rendezvous hashing weight of an endpoint for a request.
fn rendezvous_weight(request: Fingerprint, endpoint: &Endpoint) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&request.to_le_bytes());
    hasher.update(endpoint.instance.as_bytes());
    *hasher.finalize().as_bytes()
}
