//! Orders and plans known to this node.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use lentilshunt_core::{
    id::{InstanceId, ServiceId},
    overload::Kind,
    rollout::{Evidence, Mode, Order, Outcome, Plan, Report},
};

use super::Reply;
use crate::executor::lock;

/// Time for which a share of a trial holds after a reply of the coordinator.
const TRIAL_LIFETIME: Duration = Duration::from_millis(1500);
/// Time after completion for which the old version still gets nothing.
const COMPLETION_TIME: Duration = Duration::from_secs(10);

/// Orders and plans known to this node, and the evidence of its upstream.
#[derive(Debug, Default)]
pub struct Rollouts {
    /// Whether the deployment has roll-outs.
    is_enabled: bool,
    open: ArcSwap<BTreeMap<ServiceId, Open>>,
    evidence: Mutex<LocalEvidence>,
}

/// An order and the plan for it.
#[derive(Clone, Debug)]
struct Open {
    order: Order,
    seen_at: Instant,
    mode: Mode,
    /// Instant of the last change of `mode` or of the last reply.
    replied_at: Instant,
    outcome: Outcome,
}

/// Evidence of the local upstream for one order.
#[derive(Debug, Default)]
struct LocalEvidence {
    ordered_version: String,
    version: String,
    evidence: Evidence,
}

impl Rollouts {
    /// Creates a state without orders; `is_enabled` is whether the deployment has roll-outs.
    #[must_use]
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            ..Self::default()
        }
    }

    /// Returns whether the deployment has roll-outs, so that versions of upstreams matter.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Adds an order, and returns whether it is new.
    ///
    /// An order for the same version has no effect.
    pub fn add(&self, order: &Order, now: Instant) -> bool {
        let open = self.open.load();
        let known = open.get(&order.service);
        if known.is_some_and(|known| known.order.version == order.version) {
            return false;
        }
        self.update(|open| {
            let added = Open {
                order: order.clone(),
                seen_at: now,
                mode: Mode::Stopped,
                replied_at: now,
                outcome: Outcome::Active,
            };
            open.insert(order.service.clone(), added);
        });
        true
    }

    /// Removes the order for a service that the operator has removed, and returns whether there was
    /// one.
    pub fn remove(&self, service: &str) -> bool {
        let is_known = self.open.load().contains_key(service);
        if is_known {
            self.update(|open| drop(open.remove(service)));
        }
        is_known
    }

    /// Returns the plan for a service, or `None` if nothing is ordered.
    #[must_use]
    pub fn plan(&self, service: &str, now: Instant) -> Option<Plan> {
        let open = self.open.load();
        if open.is_empty() {
            return None;
        }
        let open = open.get(service)?;
        let since_reply = now.saturating_duration_since(open.replied_at);
        let mode = match (open.outcome, open.mode) {
            (Outcome::Completed, _) if since_reply > COMPLETION_TIME => return None,
            (_, Mode::Trial(_)) if since_reply > TRIAL_LIFETIME => Mode::Stopped,
            (_, mode) => mode,
        };
        let version = open.order.version.clone();
        Some(Plan { version, mode })
    }

    /// Returns the order for a service, with the instant at which it became known.
    #[must_use]
    pub fn order(&self, service: &str) -> Option<(Order, Instant)> {
        let open = self.open.load();
        open.get(service)
            .map(|open| (open.order.clone(), open.seen_at))
    }

    /// Records a run of the local upstream, whose version is `version`; `time` is `None` if it does
    /// not count.
    pub fn record(
        &self,
        service: &str,
        version: &str,
        kind: Kind,
        has_failed: bool,
        time: Option<Duration>,
    ) {
        let open = self.open.load();
        let Some(open) = open.get(service) else {
            return;
        };
        if open.outcome != Outcome::Active {
            return;
        }
        let mut local = lock(&self.evidence);
        if local.ordered_version != open.order.version || local.version != version {
            *local = LocalEvidence {
                ordered_version: open.order.version.clone(),
                version: version.to_owned(),
                evidence: Evidence::default(),
            };
        }
        local.evidence.record(kind, has_failed, time);
    }

    /// Returns a report for each open order; `local` is the service of the local upstream and its
    /// version.
    #[must_use]
    pub fn reports(
        &self,
        node: &InstanceId,
        local: (&str, Option<&str>),
        now: Instant,
    ) -> Vec<Report> {
        let open = self.open.load();
        let is_open = |open: &&Open| open.outcome == Outcome::Active;
        open.values()
            .filter(is_open)
            .map(|open| {
                let (service, version) = local;
                let version = version.filter(|_| service == open.order.service);
                let age = now.saturating_duration_since(open.seen_at);
                Report {
                    node: node.clone(),
                    service: open.order.service.clone(),
                    version: open.order.version.clone(),
                    age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                    mode: open.mode,
                    is_new: version.map(|version| version == open.order.version),
                    evidence: self.evidence(&open.order.version, version),
                }
            })
            .collect()
    }

    fn evidence(&self, ordered_version: &str, version: Option<&str>) -> Evidence {
        let local = lock(&self.evidence);
        let is_current =
            local.ordered_version == ordered_version && version == Some(local.version.as_str());
        if is_current {
            local.evidence.clone()
        } else {
            Evidence::default()
        }
    }

    /// Applies the coordinator's reply to a report.
    pub fn apply(&self, report: &Report, reply: Reply, now: Instant) {
        self.update(|open| {
            let known = open.get_mut(&report.service);
            if let Some(open) = known.filter(|open| open.order.version == report.version) {
                open.mode = reply.mode;
                open.outcome = reply.outcome;
                open.replied_at = now;
                let age = Duration::from_millis(reply.age_ms);
                if let Some(seen_at) = now.checked_sub(age) {
                    open.seen_at = open.seen_at.min(seen_at);
                }
            }
        });
    }

    fn update(&self, change: impl Fn(&mut BTreeMap<ServiceId, Open>)) {
        self.open.rcu(|open| {
            let mut open = BTreeMap::clone(open);
            change(&mut open);
            Arc::new(open)
        });
    }
}
