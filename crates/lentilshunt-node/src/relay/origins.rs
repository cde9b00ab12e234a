//! Whether the requests of each route are calls of the local upstream.

use std::{collections::HashMap, sync::Mutex, time::Instant};

use lentilshunt_core::overload::Origin;

use crate::executor::lock;

/// Maximum number of routes that are tracked.
const MAX_ROUTES: usize = 4096;

/// Tracks where the requests of each route come from.
#[derive(Debug, Default)]
pub(super) struct Origins(Mutex<HashMap<String, Origin>>);

impl Origins {
    /// Records a request, and returns whether it counts as a call of the local upstream; see
    /// [`Origin::record`].
    pub(super) fn record(
        &self,
        route: &str,
        deadline: Instant,
        latest_running: Option<Instant>,
    ) -> bool {
        let mut routes = lock(&self.0);
        if let Some(origin) = routes.get_mut(route) {
            return origin.record(deadline, latest_running);
        }
        if routes.len() < MAX_ROUTES {
            let mut origin = Origin::default();
            origin.record(deadline, latest_running);
            routes.insert(route.to_owned(), origin);
        }
        false
    }
}
