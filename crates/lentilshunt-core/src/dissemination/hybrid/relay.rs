//! Chooses relays between failure domains and regions.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{core::Hybrid, links::Target};
use crate::{
    id::{DomainId, RegionId},
    membership::{Liveness, Member, rendezvous_weight},
};

impl Hybrid {
    /// Returns whether a failure domain can be tried as the target of a link.
    fn is_open(&self, domain: &str) -> bool {
        self.reaches.said(&self.domain, domain) != Some(false)
    }

    /// Returns whether news about a failure domain travel on a link.
    pub(super) fn is_for(
        &self,
        target: &Target,
        domain: &str,
        region: &str,
        homes: &BTreeMap<RegionId, DomainId>,
    ) -> bool {
        match target {
            Target::Domain(_) if domain == self.domain => true,
            Target::Domain(_) => homes.get(region) == Some(&self.domain),
            Target::Region(_) => region == self.region,
        }
    }

    /// Returns the targets for which this node is the relay.
    pub(super) fn targets(&self) -> Vec<Target> {
        let near = self
            .regions
            .iter()
            .filter(|(domain, region)| **region == self.region && **domain != self.domain)
            .map(|(domain, _)| domain)
            .filter(|domain| self.is_relay(domain));
        let homes = self.homes();
        let far = homes
            .iter()
            .filter(|(region, home)| **home == self.domain && self.is_relay(region))
            .map(|(region, _)| Target::Region(region.clone()));
        near.cloned().map(Target::Domain).chain(far).collect()
    }

    /// Returns the failure domain of the own region that speaks with each other region.
    pub(super) fn homes(&self) -> BTreeMap<RegionId, DomainId> {
        let regions = &self.regions;
        let own: Vec<&DomainId> = regions
            .iter()
            .filter(|(_, region)| **region == self.region)
            .map(|(domain, _)| domain)
            .filter(|domain| self.reaches.is_reachable(&self.domain, domain, regions))
            .collect();
        let mut homes = BTreeMap::new();
        for region in regions.values().filter(|region| **region != self.region) {
            let connected = own.iter().filter(|domain| {
                regions
                    .iter()
                    .filter(|(_, other)| *other == region)
                    .any(|(other, _)| self.reaches.said(domain, other) != Some(false))
            });
            let home = connected.max_by_key(|domain| rendezvous_weight(domain, region));
            if let Some(home) = home {
                homes.insert(region.clone(), (*home).clone());
            }
        }
        homes
    }

    /// Returns whether this node relays for its failure domain to a target.
    pub(super) fn is_relay(&self, target: &str) -> bool {
        let own = rendezvous_weight(&self.instance, target);
        !self
            .neighbours()
            .filter(|peer| peer.entry.standing == Liveness::Alive)
            .any(|peer| rendezvous_weight(&peer.entry.record.instance, target) > own)
    }

    /// Returns the failure domain and the node to which a link speaks now.
    pub(super) fn destination(&self, target: &Target) -> Option<(DomainId, SocketAddr)> {
        let domain = match target {
            Target::Domain(domain) => Some(domain.clone()),
            Target::Region(region) => {
                let domains = self.regions.iter().filter(|(_, other)| *other == region);
                domains
                    .map(|(domain, _)| domain)
                    .filter(|domain| self.is_open(domain))
                    .max_by_key(|domain| rendezvous_weight(domain, &self.region))
                    .cloned()
            }
        };
        let domain = domain.filter(|domain| self.is_open(domain))?;
        let candidates = self.candidates(&domain);
        let failures = self.links.contacts.get(&domain);
        let failures = failures.map_or(0, |contact| contact.failures);
        let to = *candidates.get(failures % candidates.len().max(1))?;
        Some((domain, to))
    }

    /// Returns the nodes of a failure domain, the preferred one first.
    pub(super) fn candidates(&self, domain: &str) -> Vec<SocketAddr> {
        let in_domain = |member: &&Member| member.entry.record.domain == domain;
        let mut members: Vec<&Member> = self.member_list.present().filter(in_domain).collect();
        if members.is_empty() {
            members = self.member_list.iter().filter(in_domain).collect();
        }
        members.sort_by_key(|peer| {
            let weight = rendezvous_weight(&peer.entry.record.instance, &self.domain);
            (peer.entry.standing, std::cmp::Reverse(weight))
        });
        members.iter().filter_map(|peer| peer.address).collect()
    }
}
