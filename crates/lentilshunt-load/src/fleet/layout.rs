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
/// Port on which the links are set.
const LINKS_PORT: u16 = 7101;
/// What the third part of an address rises by for the address behind a link.
const LINK_OFFSET: u8 = 100;
/// Third part of the address of the platform behind a link.
const PLATFORM_LINK_OCTET: u8 = 200;
/// What the last part of an address rises by when a server moves.
const MOVE_OFFSET: u8 = 100;

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
    pub fn callers_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Returns the address for other nodes.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT)
    }

    /// Returns the address for metrics and status.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ADMIN_PORT)
    }

    /// Returns the address of the upstream.
    #[must_use]
    pub fn upstream_address(&self) -> SocketAddr {
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
    /// Whether processes of different instances meet through the link stand-in.
    pub uses_links: bool,
    /// Lines of the section `[calls]` of every node.
    pub calls_section: String,
}

impl Layout {
    /// Failure domain by which the link stand-in knows the platform.
    pub const PLATFORM_DOMAIN: &str = "platform";

    /// Spreads `servers_per_service` servers of each service over the failure domains.
    #[must_use]
    pub fn new(snapshot: &Snapshot, servers_per_service: usize, network: u8) -> Self {
        let domains: Vec<_> = snapshot.topology.domains.iter().collect();
        let mut used: BTreeMap<usize, u8> = BTreeMap::new();
        let mut servers = Vec::new();
        let mut next = 0;
        for (name, service) in &snapshot.services {
            for index in 0..servers_per_service {
                let domain_index = next % domains.len().max(1);
                next += 1;
                let Some((domain, region)) = domains.get(domain_index) else {
                    continue;
                };
                let host = used.entry(domain_index).or_insert(0);
                *host += 1;
                let third = u8::try_from(domain_index + 1).unwrap_or(u8::MAX);
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
            uses_links: false,
            calls_section: String::new(),
        }
    }

    /// Puts the link stand-in between instances, and between them and the platform.
    #[must_use]
    pub fn with_links(mut self) -> Self {
        self.uses_links = true;
        self
    }

    /// Gives a server another address, as when its instance is replaced.
    pub fn move_server(&mut self, instance: &str) {
        let mut servers = self.servers.iter_mut();
        if let Some(server) = servers.find(|server| server.instance == instance)
            && let IpAddr::V4(ip) = server.ip
        {
            let [first, second, third, host] = ip.octets();
            let host = host.wrapping_add(MOVE_OFFSET);
            server.ip = IpAddr::V4(Ipv4Addr::new(first, second, third, host));
        }
    }

    /// Returns the address at which other nodes reach the node of a server.
    #[must_use]
    pub fn advertised_address(&self, server: &Server) -> SocketAddr {
        let (true, IpAddr::V4(ip)) = (self.uses_links, server.ip) else {
            return server.peer_address();
        };
        let [first, second, third, host] = ip.octets();
        let ip = Ipv4Addr::new(first, second, third + LINK_OFFSET, host);
        SocketAddr::new(IpAddr::V4(ip), PEERS_PORT)
    }

    /// Returns the address at which nodes reach the platform.
    #[must_use]
    pub fn platform_address_for_nodes(&self) -> SocketAddr {
        if !self.uses_links {
            return self.platform_address();
        }
        let ip = Ipv4Addr::new(127, self.network, PLATFORM_LINK_OCTET, 1);
        SocketAddr::new(IpAddr::V4(ip), PLATFORM_PORT)
    }

    /// Returns the address on which the links are set.
    #[must_use]
    pub fn links_address(&self) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network, 0, 2);
        SocketAddr::new(IpAddr::V4(ip), LINKS_PORT)
    }

    /// Returns the failure domains of the servers with their regions.
    #[must_use]
    pub fn domains(&self) -> BTreeMap<DomainId, RegionId> {
        let servers = self.servers.iter();
        servers
            .map(|server| (server.domain.clone(), server.region.clone()))
            .collect()
    }

    /// Returns the address of the platform.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
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
            .map(|other| self.advertised_address(other).to_string())
            .collect();
        format!(
            "[instance]\nname = {}\nregion = {}\ndomain = {}\n\
             [listen]\ncallers = {}\npeers = {}\nadmin = {}\nadvertise = {}\n\
             [platform]\naddress = {}\n\
             [peers]\nseeds = {}\n\
             [calls]\n{}\n\
             [log]\nlevel = info\n\
             [history]\nfile = {}\n",
            server.instance,
            server.region,
            server.domain,
            server.callers_address(),
            server.peer_address(),
            server.admin_address(),
            self.advertised_address(server),
            self.platform_address_for_nodes(),
            seeds.join(", "),
            self.calls_section,
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
            server.upstream_address(),
            server.service,
            server.peer_address(),
            server.slots,
            server.connections,
            self.run_us,
            history.display(),
        )
    }

    /// Returns the settings of the platform.
    #[must_use]
    pub fn platform_settings(&self) -> String {
        format!("[listen]\naddress = {}\n", self.platform_address())
    }

    /// Returns the settings of the link stand-in.
    #[must_use]
    pub fn link_settings(&self) -> String {
        format!("[listen]\naddress = {}\n", self.links_address())
    }
}
