//! Chooses relays between failure domains and regions.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{core::Hybrid, links::Target};
use crate::{
    id::{DomainId, RegionId},
    membership::{Liveness, Member, rendezvous_weight},
};

impl Hybrid {
    /// Returns false if the local failure domain last stated that it does not reach `domain`, else
    /// true.
    fn may_reach(&self, domain: &str) -> bool {
        self.reachability
            .last_stated_reachable(&self.domain, domain)
            != Some(false)
    }

    /// Returns whether changes in a failure domain are sent to a target.
    pub(super) fn is_relayed_to(
        &self,
        target: &Target,
        domain: &str,
        region: &str,
        gateways: &BTreeMap<RegionId, DomainId>,
    ) -> bool {
        match target {
            Target::Domain(_) if domain == self.domain => true,
            Target::Domain(_) => gateways.get(region) == Some(&self.domain),
            Target::Region(_) => region == self.region,
        }
    }

    /// Returns the targets for which this node is the relay.
    pub(super) fn relay_targets(&self) -> Vec<Target> {
        let domains = self
            .domain_regions
            .iter()
            .filter(|(domain, region)| **region == self.region && **domain != self.domain)
            .map(|(domain, _)| domain)
            .filter(|domain| self.is_relay(domain));
        let gateways = self.gateway_domains();
        let regions = gateways
            .iter()
            .filter(|(region, gateway)| **gateway == self.domain && self.is_relay(region))
            .map(|(region, _)| Target::Region(region.clone()));
        domains
            .cloned()
            .map(Target::Domain)
            .chain(regions)
            .collect()
    }

    /// Returns, for each other region, the failure domain of the local region that exchanges
    /// changes with it.
    pub(super) fn gateway_domains(&self) -> BTreeMap<RegionId, DomainId> {
        let regions = &self.domain_regions;
        let region_domains: Vec<&DomainId> = regions
            .iter()
            .filter(|(_, region)| **region == self.region)
            .map(|(domain, _)| domain)
            .filter(|domain| {
                self.reachability
                    .is_reachable(&self.domain, domain, regions)
            })
            .collect();
        let mut gateways = BTreeMap::new();
        for region in regions.values().filter(|region| **region != self.region) {
            let connected = region_domains.iter().filter(|domain| {
                regions
                    .iter()
                    .filter(|(_, other)| *other == region)
                    .any(|(other, _)| {
                        self.reachability.last_stated_reachable(domain, other) != Some(false)
                    })
            });
            let gateway = connected.max_by_key(|domain| rendezvous_weight(domain, region));
            if let Some(gateway) = gateway {
                gateways.insert(region.clone(), (*gateway).clone());
            }
        }
        gateways
    }

    /// Returns whether this node is the relay of its failure domain to the failure domain or region
    /// `target_name`.
    pub(super) fn is_relay(&self, target_name: &str) -> bool {
        let local_weight = rendezvous_weight(&self.instance, target_name);
        !self
            .peers_in_scope()
            .filter(|peer| peer.entry.standing == Liveness::Alive)
            .any(|peer| rendezvous_weight(&peer.entry.record.instance, target_name) > local_weight)
    }

    /// Returns the failure domain and the address to which a link sends now.
    pub(super) fn link_destination(&self, target: &Target) -> Option<(DomainId, SocketAddr)> {
        let domain = match target {
            Target::Domain(domain) => Some(domain.clone()),
            Target::Region(region) => {
                let domains = self
                    .domain_regions
                    .iter()
                    .filter(|(_, other)| *other == region);
                domains
                    .map(|(domain, _)| domain)
                    .filter(|domain| self.may_reach(domain))
                    .max_by_key(|domain| rendezvous_weight(domain, &self.region))
                    .cloned()
            }
        };
        let domain = domain.filter(|domain| self.may_reach(domain))?;
        let candidates = self.candidate_addresses(&domain);
        let failures = self.links.retries.get(&domain);
        let failures = failures.map_or(0, |retry| retry.failed_exchanges);
        let to = *candidates.get(failures % candidates.len().max(1))?;
        Some((domain, to))
    }

    /// Returns the addresses of the nodes of a failure domain, the preferred one first.
    ///
    /// Gone nodes are returned only if there is no other.
    pub(super) fn candidate_addresses(&self, domain: &str) -> Vec<SocketAddr> {
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
