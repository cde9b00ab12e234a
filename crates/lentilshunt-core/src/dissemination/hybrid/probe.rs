//! Detects failed nodes of the scope, and detects when gone nodes return.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lentilshunt_schema::peer::{Ack, IndirectAck, IndirectProbe, Probe, Stamp};
use rand::{rngs::StdRng, seq::IndexedRandom};

use super::core::Hybrid;
use crate::{
    dissemination::jitter::jitter,
    id::InstanceId,
    membership::{Entry, Liveness, Member, Record, stamp_of},
};

/// Mean time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(2500);
/// Mean time between two probes of nodes that are gone.
const GONE_PROBE_INTERVAL: Duration = Duration::from_millis(2500);
/// Longest wait for the response to a direct probe.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait for the response to an indirect probe.
const INDIRECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of helpers that are requested to probe a node that does not respond.
const INDIRECT_PROBE_HELPERS: usize = 2;
/// Maximum number of probes that a node tracks at a time as a helper.
const MAX_HELPER_PROBES: usize = 64;

/// Schedule and state of the probes of a node.
#[derive(Debug)]
pub(super) struct Prober {
    probe_due: Instant,
    gone_probe_due: Instant,
    pending: Option<PendingProbe>,
    probe_order: Vec<InstanceId>,
    helper_probes: Vec<HelperProbe>,
}

/// A probe that waits for its response.
#[derive(Debug)]
struct PendingProbe {
    instance: InstanceId,
    address: SocketAddr,
    expires_at: Instant,
    is_indirect: bool,
}

/// A probe that this node sends as the helper of an indirect probe.
#[derive(Debug)]
struct HelperProbe {
    target: SocketAddr,
    requester: SocketAddr,
    expires_at: Instant,
}

impl Prober {
    pub(super) fn new(random: &mut StdRng, now: Instant) -> Self {
        Self {
            probe_due: now + jitter(random, PROBE_INTERVAL),
            gone_probe_due: now + jitter(random, GONE_PROBE_INTERVAL),
            pending: None,
            probe_order: Vec::new(),
            helper_probes: Vec::new(),
        }
    }

    pub(super) fn deadline(&self) -> Instant {
        let due = self.probe_due.min(self.gone_probe_due);
        let pending = self.pending.as_ref().map(|pending| pending.expires_at);
        pending.map_or(due, |expires_at| expires_at.min(due))
    }
}

impl Hybrid {
    pub(super) fn handle_probe_timer(&mut self, now: Instant) {
        let pending = self.prober.pending.as_ref();
        if pending.is_some_and(|pending| pending.expires_at <= now) {
            self.escalate_probe(now);
        }
        if now >= self.prober.probe_due {
            self.prober.probe_due = now + jitter(&mut self.random, PROBE_INTERVAL);
            if self.prober.pending.is_none() {
                self.probe_next(now);
            }
        }
        if now >= self.prober.gone_probe_due {
            self.prober.gone_probe_due = now + jitter(&mut self.random, GONE_PROBE_INTERVAL);
            self.probe_gone_member();
        }
    }

    /// Completes the probes sent to a node after any message from it.
    ///
    /// Requesters of an indirect probe of that node are notified.
    pub(super) fn complete_probes(&mut self, now: Instant, from: SocketAddr) {
        let pending = self.prober.pending.as_ref();
        if pending.is_some_and(|pending| pending.address == from) {
            self.prober.pending = None;
        }
        let helper_probes = std::mem::take(&mut self.prober.helper_probes);
        for probe in helper_probes {
            if probe.target == from && probe.expires_at > now {
                let target = from.to_string();
                self.send(probe.requester, IndirectAck { target });
            } else if probe.expires_at > now {
                self.prober.helper_probes.push(probe);
            }
        }
    }

    /// Acknowledges a probe, and refutes its stamp if that is wrong about this node.
    pub(super) fn handle_probe(&mut self, now: Instant, from: SocketAddr, probe: &Probe) {
        let local_entry = |hybrid: &Self| Entry {
            record: hybrid.local_record.record().clone(),
            standing: Liveness::Alive,
        };
        let mut reported = local_entry(self);
        if probe.mark.instance == self.instance {
            reported.record.incarnation = probe.mark.incarnation;
            reported.record.sequence = probe.mark.sequence;
            reported.standing = probe.mark.standing;
            if self.local_record.refute(&reported) {
                self.publish_local_record(now);
            }
        }
        let current = local_entry(self);
        let entries = if stamp_of(&current) == probe.mark {
            Vec::new()
        } else {
            vec![current]
        };
        self.send(from, Ack { entries });
    }

    /// Probes a node as the helper of the sender.
    pub(super) fn handle_indirect_probe(
        &mut self,
        now: Instant,
        from: SocketAddr,
        request: &IndirectProbe,
    ) {
        let Ok(target) = request.target.parse() else {
            return;
        };
        if self.prober.helper_probes.len() < MAX_HELPER_PROBES {
            self.prober.helper_probes.push(HelperProbe {
                target,
                requester: from,
                expires_at: now + INDIRECT_TIMEOUT,
            });
        }
        let stamp = self
            .member_list
            .get_by_address(target)
            .map(|member| stamp_of(&member.entry));
        self.send(
            target,
            Probe {
                mark: stamp.unwrap_or_else(unmatched_stamp),
            },
        );
    }

    /// Completes the pending probe after another node reached its target.
    pub(super) fn handle_indirect_ack(&mut self, ack: &IndirectAck) {
        let pending = self.prober.pending.as_ref();
        if pending.is_some_and(|pending| pending.address.to_string() == ack.target) {
            self.prober.pending = None;
        }
    }

    /// Escalates the pending probe if it was direct and could not be delivered.
    pub(super) fn handle_probe_undelivered(&mut self, now: Instant, to: SocketAddr) {
        let pending = self.prober.pending.as_ref();
        if pending.is_some_and(|pending| pending.address == to && !pending.is_indirect) {
            self.escalate_probe(now);
        }
    }

    /// Probes a sender whose liveness is suspected or gone, so that it can refute that.
    pub(super) fn probe_unless_alive(&mut self, from: SocketAddr) {
        let Some(member) = self.member_list.get_by_address(from) else {
            return;
        };
        if member.entry.standing != Liveness::Alive {
            let stamp = stamp_of(&member.entry);
            self.send(from, Probe { mark: stamp });
        }
    }

    fn probe_next(&mut self, now: Instant) {
        if self.prober.probe_order.is_empty() {
            let instances = self
                .peers_in_scope()
                .map(|peer| &peer.entry.record.instance);
            let instances = instances.cloned().collect();
            self.prober.probe_order = self.shuffled(instances);
        }
        while let Some(instance) = self.prober.probe_order.pop() {
            let Some(member) = self.member_list.get(&instance) else {
                continue;
            };
            let is_silent = member
                .last_message_at
                .is_none_or(|received_at| received_at + PROBE_INTERVAL <= now);
            let Some(address) = member.address.filter(|_| member.is_present() && is_silent) else {
                continue;
            };
            let stamp = stamp_of(&member.entry);
            self.prober.pending = Some(PendingProbe {
                instance,
                address,
                expires_at: now + DIRECT_TIMEOUT,
                is_indirect: false,
            });
            self.send(address, Probe { mark: stamp });
            return;
        }
    }

    fn probe_gone_member(&mut self) {
        let gone: Vec<&Member> = self
            .member_list
            .iter()
            .filter(|member| !member.is_present() && self.is_in_scope(member))
            .filter(|member| member.entry.record.instance != self.instance)
            .collect();
        let Some(member) = gone.choose(&mut self.random) else {
            return;
        };
        let (address, stamp) = (member.address, stamp_of(&member.entry));
        if let Some(address) = address {
            self.send(address, Probe { mark: stamp });
        }
    }

    /// Probes the target through helpers, or suspects it if they failed too or there are none.
    fn escalate_probe(&mut self, now: Instant) {
        let Some(mut pending) = self.prober.pending.take() else {
            return;
        };
        let helpers = if pending.is_indirect {
            Vec::new()
        } else {
            self.choose_helpers(pending.address)
        };
        if helpers.is_empty() {
            self.suspect(now, &pending.instance);
            return;
        }
        for helper in helpers {
            let target = pending.address.to_string();
            self.send(helper, IndirectProbe { target });
        }
        pending.is_indirect = true;
        pending.expires_at = now + INDIRECT_TIMEOUT;
        self.prober.pending = Some(pending);
    }

    fn choose_helpers(&mut self, target: SocketAddr) -> Vec<SocketAddr> {
        let others: Vec<SocketAddr> = self
            .peers_in_scope()
            .filter(|peer| peer.entry.standing == Liveness::Alive)
            .filter_map(|peer| peer.address)
            .filter(|address| *address != target)
            .collect();
        others
            .sample(&mut self.random, INDIRECT_PROBE_HELPERS)
            .copied()
            .collect()
    }

    fn suspect(&mut self, now: Instant, instance: &str) {
        let Some(member) = self.member_list.get(instance) else {
            return;
        };
        if member.entry.standing == Liveness::Alive {
            let record: Record = member.entry.record.clone();
            let standing = Liveness::Suspected;
            self.merge_and_queue(now, Entry { record, standing });
        }
    }
}

/// Returns a stamp that no record has, so that the probed node responds with its record.
fn unmatched_stamp() -> Stamp {
    Stamp {
        instance: String::new(),
        incarnation: 0,
        sequence: 0,
        standing: Liveness::Alive,
    }
}
