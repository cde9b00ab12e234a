//! The list of all known nodes.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rapidhash::v3::rapidhash_v3;

use super::{Entry, Liveness, Member, Stamp, Summary, address_of, stamp_of, supersedes};
use crate::id::{DomainId, InstanceId, VersionId};

/// Time within which a suspected node can refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a gone node is kept, so that outdated entries cannot add it again.
const GONE_LIFETIME: Duration = Duration::from_mins(10);

/// Kind of the change that a merge made, from the smallest to the largest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ChangeKind {
    /// The entry was not stored.
    None,
    /// Only the free slots changed.
    FreeSlots,
    /// The sequence or the liveness changed, hence the stamp.
    Stamp,
    /// The node is new or was restarted, or its service or slots changed.
    Base,
}

/// The highest entry of every known node, with the local number of its last change.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    members: BTreeMap<InstanceId, Member>,
    addresses: HashMap<SocketAddr, InstanceId>,
    last_change_number: u64,
}

impl MemberList {
    /// Returns the number of the latest change.
    #[must_use]
    pub fn last_change_number(&self) -> u64 {
        self.last_change_number
    }

    /// Allocates the number of a change that is stored outside the list, such as one of
    /// reachability.
    pub fn allocate_change_number(&mut self) -> u64 {
        self.last_change_number += 1;
        self.last_change_number
    }

    /// Returns the member of an instance.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Returns the member whose record has `address`.
    #[must_use]
    pub fn get_by_address(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(self.addresses.get(&address)?)
    }

    /// Returns all members in the order of their instances.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members whose liveness is not gone.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_present())
    }

    /// Merges an entry, which replaces the held one if it has a higher precedence.
    pub fn merge(&mut self, now: Instant, entry: Entry) -> ChangeKind {
        let instance = entry.record.instance.clone();
        let old = self.members.get(&instance);
        let change = old.map_or(ChangeKind::Base, |old| change_between(&entry, &old.entry));
        if change == ChangeKind::None {
            return change;
        }
        self.last_change_number += 1;
        let address = address_of(&entry.record);
        let mut member = old.cloned().unwrap_or(Member {
            entry: entry.clone(),
            address,
            stamp_change_number: self.last_change_number,
            base_change_number: self.last_change_number,
            last_change_number: self.last_change_number,
            last_message_at: None,
            last_ack_sent_at: None,
            expires_at: None,
            version: 0,
        });
        if change >= ChangeKind::Stamp {
            member.stamp_change_number = self.last_change_number;
            member.expires_at = expiry(now, entry.standing);
        }
        if change == ChangeKind::Base {
            member.base_change_number = self.last_change_number;
            if member.address != address {
                self.remove_address(&member);
            }
        }
        member.last_change_number = self.last_change_number;
        member.address = address;
        member.entry = entry;
        if let Some(address) = address {
            self.addresses.insert(address, instance.clone());
        }
        self.members.insert(instance, member);
        change
    }

    /// Records the receipt of a message from an address and the version in force there.
    pub fn record_message(&mut self, now: Instant, address: SocketAddr, version: VersionId) {
        let Some(instance) = self.addresses.get(&address) else {
            return;
        };
        if let Some(member) = self.members.get_mut(instance) {
            member.last_message_at = Some(now);
            member.version = version;
        }
    }

    /// Returns whether an acknowledgement to an address is due, and records it as sent.
    ///
    /// It is due if none was sent yet or the last one is at least `interval` old, and
    /// never for an unknown address.
    pub fn mark_ack_sent_if_due(
        &mut self,
        now: Instant,
        address: SocketAddr,
        interval: Duration,
    ) -> bool {
        let Some(instance) = self.addresses.get(&address) else {
            return false;
        };
        let Some(member) = self.members.get_mut(instance) else {
            return false;
        };
        let is_due = member
            .last_ack_sent_at
            .is_none_or(|at| at + interval <= now);
        if is_due {
            member.last_ack_sent_at = Some(now);
        }
        is_due
    }

    /// Returns gone entries for the suspected nodes in scope whose time to refute has passed.
    #[must_use]
    pub fn expired_suspects(
        &self,
        now: Instant,
        is_in_scope: impl Fn(&Member) -> bool,
    ) -> Vec<Entry> {
        self.iter()
            .filter(|member| member.entry.standing == Liveness::Suspected && is_in_scope(member))
            .filter(|member| member.expires_at.is_some_and(|at| at <= now))
            .map(|member| Entry {
                record: member.entry.record.clone(),
                standing: Liveness::Gone,
            })
            .collect()
    }

    /// Removes nodes that have been gone for longer than the lifetime of gone entries.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_expired =
            |member: &Member| !member.is_present() && member.expires_at.is_some_and(|at| at <= now);
        let removed: Vec<Member> = self
            .iter()
            .filter(|member| is_expired(member))
            .cloned()
            .collect();
        for member in removed {
            self.remove_address(&member);
            self.members.remove(&member.entry.record.instance);
        }
    }

    /// Returns, for each failure domain, a hash over the stamps of its members that are not gone.
    ///
    /// The hash does not depend on the order of the members.
    #[must_use]
    pub fn summaries(&self) -> Vec<Summary> {
        let mut hashes: BTreeMap<&DomainId, u64> = BTreeMap::new();
        for member in self.present() {
            let hash = hashes.entry(&member.entry.record.domain).or_default();
            *hash ^= hash_stamp(&member.entry);
        }
        hashes
            .into_iter()
            .map(|(domain, hash)| Summary {
                domain: domain.clone(),
                hash,
            })
            .collect()
    }

    /// Returns the failure domains whose hashes differ between the local and other summaries.
    #[must_use]
    pub fn differing_domains(&self, others: &[Summary]) -> Vec<DomainId> {
        let local = self.summaries();
        let domains = local.iter().chain(others).map(|summary| &summary.domain);
        let mut differing: Vec<DomainId> = domains
            .filter(|domain| domain_hash(&local, domain) != domain_hash(others, domain))
            .cloned()
            .collect();
        differing.sort();
        differing.dedup();
        differing
    }

    /// Returns the stamps of the members of `domains` whose liveness is not gone.
    #[must_use]
    pub fn stamps(&self, domains: &[DomainId]) -> Vec<Stamp> {
        self.present()
            .filter(|member| domains.contains(&member.entry.record.domain))
            .map(|member| stamp_of(&member.entry))
            .collect()
    }

    fn remove_address(&mut self, member: &Member) {
        let Some(address) = member.address else {
            return;
        };
        if self.addresses.get(&address) == Some(&member.entry.record.instance) {
            self.addresses.remove(&address);
        }
    }
}

fn change_between(new: &Entry, old: &Entry) -> ChangeKind {
    if !supersedes(new, old) {
        return ChangeKind::None;
    }
    let (new_record, old_record) = (&new.record, &old.record);
    let base = |entry: &Entry| (entry.record.incarnation, entry.record.base);
    if base(new) != base(old) {
        ChangeKind::Base
    } else if new_record.sequence != old_record.sequence || new.standing != old.standing {
        ChangeKind::Stamp
    } else {
        ChangeKind::FreeSlots
    }
}

fn expiry(now: Instant, liveness: Liveness) -> Option<Instant> {
    match liveness {
        Liveness::Alive => None,
        Liveness::Suspected => Some(now + SUSPICION_TIMEOUT),
        Liveness::Gone => Some(now + GONE_LIFETIME),
    }
}

fn domain_hash(summaries: &[Summary], domain: &str) -> Option<u64> {
    let summary = summaries.iter().find(|summary| summary.domain == domain);
    summary.map(|summary| summary.hash)
}

fn hash_stamp(entry: &Entry) -> u64 {
    let bytes = rmp_serde::to_vec(&stamp_of(entry)).expect("a stamp can be encoded");
    rapidhash_v3(&bytes)
}
