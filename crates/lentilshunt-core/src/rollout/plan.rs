//! Which version a request goes to.

use serde::{Deserialize, Serialize};

use crate::{membership::Endpoint, routing::ServiceRoute};

/// Part of the requests that the new version gets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Mode {
    /// A share in thousandths.
    Trial(u16),
    /// None.
    Stopped,
    /// All.
    Shifted,
}

/// Which version the requests for one service go to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// The new version.
    pub version: String,
    /// Part of the requests that it gets.
    pub mode: Mode,
}

impl Plan {
    /// Returns the endpoints that a request may be sent to.
    ///
    /// `random` is uniformly distributed. Only the first attempt of a request is sent to a version
    /// on trial. While no upstream of the version that gets all requests is known, the others get
    /// them.
    #[must_use]
    pub fn select(&self, route: &ServiceRoute, is_first: bool, random: u16) -> ServiceRoute {
        let is_new = |endpoint: &Endpoint| endpoint.version == self.version;
        let wants_new = match self.mode {
            Mode::Trial(share) => is_first && random % 1000 < share,
            Mode::Stopped => false,
            Mode::Shifted => true,
        };
        let wanted = filtered(route, |endpoint| is_new(endpoint) == wants_new);
        if !wanted.is_empty() || self.mode == Mode::Stopped {
            return wanted;
        }
        filtered(route, |endpoint| is_new(endpoint) != wants_new)
    }
}

fn filtered(route: &ServiceRoute, keeps: impl Fn(&Endpoint) -> bool) -> ServiceRoute {
    let mut route = route.clone();
    for tier in &mut route.tiers {
        tier.retain(|endpoint| keeps(endpoint));
    }
    route
}
