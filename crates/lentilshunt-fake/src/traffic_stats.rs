//! Counts of a run.

use std::collections::BTreeMap;

use lentilshunt_core::dissemination::LinkClass;

/// Traffic counted since it was last taken.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TrafficStats {
    /// Bytes by class of link, HTTP, TCP and IP heads included.
    pub bytes_by_link: BTreeMap<LinkClass, u64>,
    /// Bytes between the platform and nodes of other regions than its own.
    pub platform_cross_region_bytes: u64,
    /// Requests and responses between nodes.
    pub messages: u64,
    /// Reads of the platform.
    pub platform_reads: u64,
    /// Writes of the platform.
    pub platform_writes: u64,
}

impl TrafficStats {
    /// Adds bytes of the platform, which may cross regions.
    pub(crate) fn add_platform(&mut self, bytes: usize, crosses_regions: bool) {
        self.add(LinkClass::Platform, bytes);
        if crosses_regions {
            self.platform_cross_region_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        }
    }

    /// Adds bytes on a class of link.
    pub(crate) fn add(&mut self, link: LinkClass, bytes: usize) {
        *self.bytes_by_link.entry(link).or_default() += u64::try_from(bytes).unwrap_or(u64::MAX);
    }
}
