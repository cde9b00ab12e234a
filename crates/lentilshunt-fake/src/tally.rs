//! Counts of a run.

use std::collections::BTreeMap;

use lentilshunt_core::dissemination::LinkClass;

/// Traffic counted since it was last taken.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Bytes by class of link, HTTP, TCP and IP heads included.
    pub bytes: BTreeMap<LinkClass, u64>,
    /// Bytes between the platform and nodes of other regions than its own.
    pub platform_far: u64,
    /// Requests and responses between nodes.
    pub messages: u64,
    /// Reads of the platform.
    pub reads: u64,
    /// Writes of the platform.
    pub writes: u64,
}

impl Tally {
    /// Adds bytes of the platform, which may cross regions.
    pub(crate) fn add_platform(&mut self, bytes: usize, far: bool) {
        self.add(LinkClass::Platform, bytes);
        if far {
            self.platform_far += u64::try_from(bytes).unwrap_or(u64::MAX);
        }
    }

    /// Adds bytes on a class of link.
    pub(crate) fn add(&mut self, link: LinkClass, bytes: usize) {
        *self.bytes.entry(link).or_default() += u64::try_from(bytes).unwrap_or(u64::MAX);
    }
}
