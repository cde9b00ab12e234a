//! Links that carry nothing.

use lentilshunt_core::{
    id::{DomainId, RegionId},
    routing::Locality,
};

/// One end of a cut.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Side {
    /// All nodes, and not the platform.
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
    /// Returns whether an end lies on this side; none stands for the platform.
    #[must_use]
    pub fn contains(&self, end: Option<&Locality>) -> bool {
        match (self, end) {
            (Self::Nodes, end) => end.is_some(),
            (Self::Platform, end) => end.is_none(),
            (_, None) => false,
            (Self::Domain(domain), Some(locality)) => locality.domain == *domain,
            (Self::OutsideDomain(domain), Some(locality)) => locality.domain != *domain,
            (Self::Region(region), Some(locality)) => locality.region == *region,
            (Self::Node(instance), Some(locality)) => locality.instance == *instance,
        }
    }
}

/// A direction in which nothing is delivered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cut {
    /// Side of the sender.
    pub from: Side,
    /// Side of the receiver.
    pub to: Side,
}

impl Cut {
    /// Cuts one direction.
    #[must_use]
    pub fn one_way(from: Side, to: Side) -> Vec<Self> {
        vec![Self { from, to }]
    }

    /// Cuts both directions.
    #[must_use]
    pub fn both_ways(one: Side, other: Side) -> Vec<Self> {
        let back = Self {
            from: other.clone(),
            to: one.clone(),
        };
        vec![
            Self {
                from: one,
                to: other,
            },
            back,
        ]
    }
}
