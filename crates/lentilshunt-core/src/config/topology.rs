//! Regions and failure domains.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, RegionId};

/// Regions and the region of each failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Topology {
    /// Names of the regions.
    pub regions: BTreeSet<RegionId>,
    /// Region of each failure domain.
    pub domains: BTreeMap<DomainId, RegionId>,
}
