//! Classes of links by distance, and the overhead of a message.

use derive_more::Display;

use crate::{
    id::{DomainId, RegionId},
    membership::Record,
};

/// Bytes that a request adds to its body: HTTP, TCP and IP headers, and TCP acknowledgement.
pub const REQUEST_OVERHEAD_BYTES: usize = 165;
/// Bytes that a response adds to its body: HTTP, TCP and IP headers, and TCP acknowledgement.
pub const RESPONSE_OVERHEAD_BYTES: usize = 181;

/// Distance between the two ends of an exchange.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LinkClass {
    /// Both ends are in one failure domain.
    #[display("same_domain")]
    SameDomain,
    /// The ends are in different failure domains of one region.
    #[display("other_domain")]
    OtherDomain,
    /// The ends are in different regions.
    #[display("other_region")]
    OtherRegion,
    /// The other end is the platform.
    #[display("platform")]
    Platform,
    /// The other end is an address whose node is not known yet.
    #[display("unknown")]
    Unknown,
}

impl LinkClass {
    /// Returns the class of a link from a failure domain and its region to the node of a record.
    #[must_use]
    pub fn between(domain: &DomainId, region: &RegionId, other: &Record) -> Self {
        if other.domain == *domain {
            Self::SameDomain
        } else if other.region == *region {
            Self::OtherDomain
        } else {
            Self::OtherRegion
        }
    }
}
