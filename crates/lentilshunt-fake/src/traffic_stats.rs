//! Traffic counters of a simulation.

use std::collections::BTreeMap;

use lentilshunt_core::dissemination::LinkClass;

/// Traffic since the counters were last reset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TrafficStats {
    /// Bytes by link class, including the HTTP, TCP and IP headers.
    pub bytes_by_link: BTreeMap<LinkClass, u64>,
    /// Bytes between the platform and nodes outside its region.
    pub platform_cross_region_bytes: u64,
    /// Requests and responses between nodes.
    pub messages: u64,
    /// Read requests to the platform.
    pub platform_reads: u64,
    /// Write requests to the platform.
    pub platform_writes: u64,
}

impl TrafficStats {
    /// Adds bytes exchanged with the platform; `crosses_regions` counts them as cross-region too.
    pub(crate) fn add_platform(&mut self, bytes: usize, crosses_regions: bool) {
        self.add(LinkClass::Platform, bytes);
        if crosses_regions {
            self.platform_cross_region_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        }
    }

    /// Adds bytes to a link class.
    pub(crate) fn add(&mut self, link: LinkClass, bytes: usize) {
        *self.bytes_by_link.entry(link).or_default() += u64::try_from(bytes).unwrap_or(u64::MAX);
    }
}
