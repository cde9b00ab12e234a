//! Which server stands where, and the settings of its processes.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
};

use lentilshunt_core::{
    config::Snapshot,
    id::{DomainId, InstanceId, RegionId, ServiceId},
};

/// Port for callers.
const CALLERS_PORT: u16 = 7000;
/// Port for other nodes.
const PEERS_PORT: u16 = 7001;
/// Port for metrics and status.
const ADMIN_PORT: u16 = 7002;
/// Port of upstreams.
const UPSTREAM_PORT: u16 = 7003;
/// Port of the platform.
const PLATFORM_PORT: u16 = 7100;

/// One instance with its node and upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Slots of the upstream.
    pub slots: u32,
    /// Connections of the upstream.
    pub connections: u32,
    /// Address of the instance.
    pub ip: IpAddr,
}

impl Server {
    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Returns the address for other nodes.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT)
    }

    /// Returns the address for metrics and status.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ADMIN_PORT)
    }

    /// Returns the address of the upstream.
    #[must_use]
    pub fn upstream(&self) -> SocketAddr {
        SocketAddr::new(self.ip, UPSTREAM_PORT)
    }
}

/// The servers of a fleet and its platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Layout {
    /// Second part of all loopback addresses, so that fleets do not meet.
    pub network: u8,
    /// Servers in the order of their instances.
    pub servers: Vec<Server>,
    /// Time that a request runs, in microseconds.
    pub run_us: u64,
}

impl Layout {
    /// Spreads `servers_per_service` servers of each service over the failure domains.
    #[must_use]
    pub fn new(snapshot: &Snapshot, servers_per_service: usize, network: u8) -> Self {
        let domains: Vec<_> = snapshot.topology.domains.iter().collect();
        let mut used: BTreeMap<usize, u8> = BTreeMap::new();
        let mut servers = Vec::new();
        for (name, service) in &snapshot.services {
            for index in 0..servers_per_service {
                let place = index % domains.len().max(1);
                let Some((domain, region)) = domains.get(place) else {
                    continue;
                };
                let host = used.entry(place).or_insert(0);
                *host += 1;
                let third = u8::try_from(place + 1).unwrap_or(u8::MAX);
                servers.push(Server {
                    instance: format!("{name}-{}", index + 1),
                    region: (*region).clone(),
                    domain: (*domain).clone(),
                    service: name.clone(),
                    slots: service.slots,
                    connections: service.connections,
                    ip: IpAddr::V4(Ipv4Addr::new(127, network, third, *host)),
                });
            }
        }
        Self {
            network,
            servers,
            run_us: 2000,
        }
    }

    /// Returns the address of the platform.
    #[must_use]
    pub fn platform(&self) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network, 0, 1);
        SocketAddr::new(IpAddr::V4(ip), PLATFORM_PORT)
    }

    /// Returns the settings of a server's node.
    #[must_use]
    pub fn node_settings(&self, server: &Server, history: &Path) -> String {
        let seeds: Vec<String> = self
            .servers
            .iter()
            .filter(|other| other.domain == server.domain && other.instance != server.instance)
            .take(2)
            .map(|other| other.peers().to_string())
            .collect();
        format!(
            "[instance]\nname = {}\nregion = {}\ndomain = {}\n\
             [listen]\ncallers = {}\npeers = {}\nadmin = {}\n\
             [platform]\naddress = {}\n\
             [peers]\nseeds = {}\n\
             [log]\nlevel = info\n\
             [history]\nfile = {}\n",
            server.instance,
            server.region,
            server.domain,
            server.callers(),
            server.peers(),
            server.admin(),
            self.platform(),
            seeds.join(", "),
            history.display(),
        )
    }

    /// Returns the settings of a server's upstream.
    #[must_use]
    pub fn upstream_settings(&self, server: &Server, history: &Path) -> String {
        format!(
            "[instance]\nname = {}\nregion = {}\ndomain = {}\n\
             [listen]\naddress = {}\n\
             [upstream]\nservice = {}\nnode = {}\nslots = {}\nconnections = {}\nrun_us = {}\n\
             [history]\nfile = {}\n",
            server.instance,
            server.region,
            server.domain,
            server.upstream(),
            server.service,
            server.peers(),
            server.slots,
            server.connections,
            self.run_us,
            history.display(),
        )
    }

    /// Returns the settings of the platform.
    #[must_use]
    pub fn platform_settings(&self) -> String {
        format!("[listen]\naddress = {}\n", self.platform())
    }
}
