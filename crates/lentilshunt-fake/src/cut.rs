//! Network cuts between nodes and the platform.

use lentilshunt_core::{
    id::{DomainId, RegionId},
    routing::Locality,
};

/// Set of endpoints at one end of a cut.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Side {
    /// All nodes, without the platform.
    Nodes,
    /// The nodes of a failure domain.
    Domain(DomainId),
    /// The nodes outside a failure domain.
    OutsideDomain(DomainId),
    /// The nodes of a region.
    Region(RegionId),
    /// One node.
    Node(String),
    /// The platform.
    Platform,
}

impl Side {
    /// Returns whether an endpoint is on this side; `None` is the platform.
    #[must_use]
    pub fn contains(&self, endpoint: Option<&Locality>) -> bool {
        match (self, endpoint) {
            (Self::Nodes, endpoint) => endpoint.is_some(),
            (Self::Platform, endpoint) => endpoint.is_none(),
            (_, None) => false,
            (Self::Domain(domain), Some(locality)) => locality.domain == *domain,
            (Self::OutsideDomain(domain), Some(locality)) => locality.domain != *domain,
            (Self::Region(region), Some(locality)) => locality.region == *region,
            (Self::Node(instance), Some(locality)) => locality.instance == *instance,
        }
    }
}

/// Direction in which all messages are dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cut {
    /// Side that sends.
    pub from: Side,
    /// Side that receives.
    pub to: Side,
}

impl Cut {
    /// Returns a cut of one direction.
    #[must_use]
    pub fn one_way(from: Side, to: Side) -> Vec<Self> {
        vec![Self { from, to }]
    }

    /// Returns the cuts of both directions.
    #[must_use]
    pub fn both_ways(one: Side, other: Side) -> Vec<Self> {
        let reverse = Self {
            from: other.clone(),
            to: one.clone(),
        };
        vec![
            Self {
                from: one,
                to: other,
            },
            reverse,
        ]
    }
}
