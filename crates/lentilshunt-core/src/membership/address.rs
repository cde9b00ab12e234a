//! The address of a node in its record.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use super::Record;

/// Returns the address of a record's node, or `None` if no node can listen at it.
#[must_use]
pub fn address_of(record: &Record) -> Option<SocketAddr> {
    let address: SocketAddr = record.address.parse().ok()?;
    let ip = address.ip().to_canonical();
    // A connection to the unspecified address would reach the local node.
    let is_one_node =
        !ip.is_unspecified() && !ip.is_multicast() && ip != IpAddr::V4(Ipv4Addr::BROADCAST);
    (is_one_node && address.port() > 0).then_some(address)
}
