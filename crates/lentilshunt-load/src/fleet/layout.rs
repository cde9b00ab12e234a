//! Addresses of the servers of a fleet, and the settings of their processes.

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
/// Peer port of nodes.
const PEERS_PORT: u16 = 7001;
/// Admin port of nodes, for metrics and status.
const ADMIN_PORT: u16 = 7002;
/// Port of upstreams.
const UPSTREAM_PORT: u16 = 7003;
/// Port of the platform.
const PLATFORM_PORT: u16 = 7100;
/// Port on which the link stand-in is configured.
const LINKS_PORT: u16 = 7101;
/// Offset of the third octet between the address of a server and its address behind
/// the link stand-in.
const LINK_OFFSET: u8 = 100;
/// Third octet of the platform's address behind the link stand-in.
const PLATFORM_LINK_OCTET: u8 = 200;
/// Offset of the last octet when a server moves to another address.
const MOVE_OFFSET: u8 = 100;

/// Instance with its node and upstream.
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
    /// Connection limit of the upstream.
    pub connections: u32,
    /// IP address of the node and the upstream.
    pub ip: IpAddr,
}

impl Server {
    /// Returns the node's address for callers.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Returns the node's address for other nodes.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT)
    }

    /// Returns the node's address for metrics and status.
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

/// Addresses and parameters of the servers of a fleet and of its platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Layout {
    /// Second octet of all loopback addresses, which keeps concurrent fleets apart.
    pub network: u8,
    /// Servers, grouped by service.
    pub servers: Vec<Server>,
    /// Time that an upstream takes to run a request, in microseconds.
    pub run_us: u64,
    /// Whether nodes connect to each other and to the platform through the link stand-in.
    pub uses_links: bool,
    /// Content of the section `[calls]` of every node's settings.
    pub calls_section: String,
}

impl Layout {
    /// Failure domain that the link stand-in assigns to the platform.
    pub const PLATFORM_DOMAIN: &str = "platform";

    /// Distributes `servers_per_service` servers of each service round-robin over the
    /// failure domains.
    #[must_use]
    pub fn new(snapshot: &Snapshot, servers_per_service: usize, network: u8) -> Self {
        let domains: Vec<_> = snapshot.topology.domains.iter().collect();
        let mut hosts: BTreeMap<usize, u8> = BTreeMap::new();
        let mut servers = Vec::new();
        let mut server_count = 0;
        for (name, service) in &snapshot.services {
            for index in 0..servers_per_service {
                let domain_index = server_count % domains.len().max(1);
                server_count += 1;
                let Some((domain, region)) = domains.get(domain_index) else {
                    continue;
                };
                let host = hosts.entry(domain_index).or_insert(0);
                *host += 1;
                let third_octet = u8::try_from(domain_index + 1).unwrap_or(u8::MAX);
                servers.push(Server {
                    instance: format!("{name}-{}", index + 1),
                    region: (*region).clone(),
                    domain: (*domain).clone(),
                    service: name.clone(),
                    slots: service.slots,
                    connections: service.connections,
                    ip: IpAddr::V4(Ipv4Addr::new(127, network, third_octet, *host)),
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

    /// Routes connections between nodes, and to the platform, through the link stand-in.
    #[must_use]
    pub fn with_links(mut self) -> Self {
        self.uses_links = true;
        self
    }

    /// Changes the address of a server, as when its instance is replaced.
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

    /// Returns the peer address that the node of a server advertises.
    #[must_use]
    pub fn advertised_address(&self, server: &Server) -> SocketAddr {
        let (true, IpAddr::V4(ip)) = (self.uses_links, server.ip) else {
            return server.peer_address();
        };
        let [first, second, third, host] = ip.octets();
        let ip = Ipv4Addr::new(first, second, third + LINK_OFFSET, host);
        SocketAddr::new(IpAddr::V4(ip), PEERS_PORT)
    }

    /// Returns the address at which nodes connect to the platform.
    #[must_use]
    pub fn platform_address_for_nodes(&self) -> SocketAddr {
        if !self.uses_links {
            return self.platform_address();
        }
        let ip = Ipv4Addr::new(127, self.network, PLATFORM_LINK_OCTET, 1);
        SocketAddr::new(IpAddr::V4(ip), PLATFORM_PORT)
    }

    /// Returns the address on which the link stand-in is configured.
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
