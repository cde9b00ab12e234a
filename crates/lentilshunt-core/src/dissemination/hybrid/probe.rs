//! Finds dead nodes of the scope, and gone ones that are back.

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

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(2500);
/// Time between two probes of nodes that are gone.
const RETURN_INTERVAL: Duration = Duration::from_millis(2500);
/// Longest wait for a direct answer.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait for an answer through other nodes.
const INDIRECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Nodes that are asked to probe one that does not answer.
const HELPERS: usize = 2;
/// Probes for others that are remembered.
const SEEKS: usize = 64;

/// The probes of a node.
#[derive(Debug)]
pub(super) struct Prober {
    due: Instant,
    return_due: Instant,
    round: Option<Round>,
    order: Vec<InstanceId>,
    seeks: Vec<Sought>,
}

/// A probe that waits for its answer.
#[derive(Debug)]
struct Round {
    instance: InstanceId,
    address: SocketAddr,
    expires_at: Instant,
    indirect: bool,
}

/// A probe on behalf of another node.
#[derive(Debug)]
struct Sought {
    target: SocketAddr,
    requester: SocketAddr,
    expires_at: Instant,
}

impl Prober {
    pub(super) fn new(random: &mut StdRng, now: Instant) -> Self {
        Self {
            due: now + jitter(random, PROBE_INTERVAL),
            return_due: now + jitter(random, RETURN_INTERVAL),
            round: None,
            order: Vec::new(),
            seeks: Vec::new(),
        }
    }

    pub(super) fn deadline(&self) -> Instant {
        let due = self.due.min(self.return_due);
        let round = self.round.as_ref().map(|round| round.expires_at);
        round.map_or(due, |expires_at| expires_at.min(due))
    }
}

impl Hybrid {
    pub(super) fn probe_timer(&mut self, now: Instant) {
        let round = self.prober.round.as_ref();
        if round.is_some_and(|round| round.expires_at <= now) {
            self.probe_failed(now);
        }
        if now >= self.prober.due {
            self.prober.due = now + jitter(&mut self.random, PROBE_INTERVAL);
            if self.prober.round.is_none() {
                self.probe_next(now);
            }
        }
        if now >= self.prober.return_due {
            self.prober.return_due = now + jitter(&mut self.random, RETURN_INTERVAL);
            self.probe_gone();
        }
    }

    /// Notes that a node answered or sent anything of its own.
    pub(super) fn probe_heard(&mut self, now: Instant, from: SocketAddr) {
        let round = self.prober.round.as_ref();
        if round.is_some_and(|round| round.address == from) {
            self.prober.round = None;
        }
        let seeks = std::mem::take(&mut self.prober.seeks);
        for sought in seeks {
            if sought.target == from && sought.expires_at > now {
                let target = from.to_string();
                self.send(sought.requester, IndirectAck { target });
            } else if sought.expires_at > now {
                self.prober.seeks.push(sought);
            }
        }
    }

    /// Answers a probe, and refutes what it shows of this node.
    pub(super) fn probed(&mut self, now: Instant, from: SocketAddr, probe: &Probe) {
        let own = |hybrid: &Self| Entry {
            record: hybrid.local_record.record().clone(),
            standing: Liveness::Alive,
        };
        let mut believed = own(self);
        if probe.mark.instance == self.instance {
            believed.record.incarnation = probe.mark.incarnation;
            believed.record.sequence = probe.mark.sequence;
            believed.standing = probe.mark.standing;
            if self.local_record.refute(&believed) {
                self.own_changed(now);
            }
        }
        let own = own(self);
        let entries = if stamp_of(&own) == probe.mark {
            Vec::new()
        } else {
            vec![own]
        };
        self.send(from, Ack { entries });
    }

    /// Probes a node on behalf of another one.
    pub(super) fn sought(&mut self, now: Instant, from: SocketAddr, seek: &IndirectProbe) {
        let Ok(target) = seek.target.parse() else {
            return;
        };
        if self.prober.seeks.len() < SEEKS {
            self.prober.seeks.push(Sought {
                target,
                requester: from,
                expires_at: now + INDIRECT_TIMEOUT,
            });
        }
        let mark = self
            .member_list
            .get_by_address(target)
            .map(|member| stamp_of(&member.entry));
        self.send(
            target,
            Probe {
                mark: mark.unwrap_or_else(unknown),
            },
        );
    }

    /// Notes that another node reached the probed one.
    pub(super) fn found(&mut self, found: &IndirectAck) {
        let round = self.prober.round.as_ref();
        if round.is_some_and(|round| round.address.to_string() == found.target) {
            self.prober.round = None;
        }
    }

    /// Notes that a probe could not be delivered.
    pub(super) fn probe_lost(&mut self, now: Instant, to: SocketAddr) {
        let round = self.prober.round.as_ref();
        if round.is_some_and(|round| round.address == to && !round.indirect) {
            self.probe_failed(now);
        }
    }

    /// Asks a node that is believed to be suspected or gone to refute it.
    pub(super) fn probe_doubted(&mut self, from: SocketAddr) {
        let Some(member) = self.member_list.get_by_address(from) else {
            return;
        };
        if member.entry.standing != Liveness::Alive {
            let mark = stamp_of(&member.entry);
            self.send(from, Probe { mark });
        }
    }

    fn probe_next(&mut self, now: Instant) {
        if self.prober.order.is_empty() {
            let names = self.neighbours().map(|peer| &peer.entry.record.instance);
            let names = names.cloned().collect();
            self.prober.order = self.shuffled(names);
        }
        while let Some(instance) = self.prober.order.pop() {
            let Some(member) = self.member_list.get(&instance) else {
                continue;
            };
            let silent = member
                .last_message_at
                .is_none_or(|heard_at| heard_at + PROBE_INTERVAL <= now);
            let Some(address) = member.address.filter(|_| member.is_present() && silent) else {
                continue;
            };
            let mark = stamp_of(&member.entry);
            self.prober.round = Some(Round {
                instance,
                address,
                expires_at: now + DIRECT_TIMEOUT,
                indirect: false,
            });
            self.send(address, Probe { mark });
            return;
        }
    }

    fn probe_gone(&mut self) {
        let gone: Vec<&Member> = self
            .member_list
            .iter()
            .filter(|member| !member.is_present() && self.in_scope(member))
            .filter(|member| member.entry.record.instance != self.instance)
            .collect();
        let Some(member) = gone.choose(&mut self.random) else {
            return;
        };
        let (address, mark) = (member.address, stamp_of(&member.entry));
        if let Some(address) = address {
            self.send(address, Probe { mark });
        }
    }

    fn probe_failed(&mut self, now: Instant) {
        let Some(mut round) = self.prober.round.take() else {
            return;
        };
        let helpers = if round.indirect {
            Vec::new()
        } else {
            self.helpers(round.address)
        };
        if helpers.is_empty() {
            self.suspect(now, &round.instance);
            return;
        }
        for helper in helpers {
            let target = round.address.to_string();
            self.send(helper, IndirectProbe { target });
        }
        round.indirect = true;
        round.expires_at = now + INDIRECT_TIMEOUT;
        self.prober.round = Some(round);
    }

    fn helpers(&mut self, target: SocketAddr) -> Vec<SocketAddr> {
        let others: Vec<SocketAddr> = self
            .neighbours()
            .filter(|peer| peer.entry.standing == Liveness::Alive)
            .filter_map(|peer| peer.address)
            .filter(|address| *address != target)
            .collect();
        others.sample(&mut self.random, HELPERS).copied().collect()
    }

    fn suspect(&mut self, now: Instant, instance: &str) {
        let Some(member) = self.member_list.get(instance) else {
            return;
        };
        if member.entry.standing == Liveness::Alive {
            let record: Record = member.entry.record.clone();
            let standing = Liveness::Suspected;
            self.learn_and_push(now, Entry { record, standing });
        }
    }
}

/// Returns a mark that no node has, so that the probed one answers with its record.
fn unknown() -> Stamp {
    Stamp {
        instance: String::new(),
        incarnation: 0,
        sequence: 0,
        standing: Liveness::Alive,
    }
}
