//! Finds the upstream that was running before the node started.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::routing::Locality;
use slog::info;
use tokio::time::sleep;

use crate::relay::{Directory, Executor, Shared};

/// Time after the start for which the upstream is looked for; its own reports arrive by then.
const MAX_ADOPTION_TIME: Duration = Duration::from_secs(3);
/// Pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(50);

/// Asks the upstream whether it accepts requests, until it has reported itself.
///
/// A node that restarts would refuse all calls until the next report of its upstream. It accepts
/// the upstream before only if the store lists it as ready and its health check succeeds, so
/// that one which has left since stays out of use.
pub async fn adopt_upstream(shared: Arc<Shared>, executor: Arc<Executor>) {
    let deadline = Instant::now() + MAX_ADOPTION_TIME;
    while Instant::now() < deadline && !executor.has_upstream() {
        let rules = shared.rules.load_full();
        if let Some(path) = rules.health_path(&shared.service)
            && is_listed(&shared.directory.load(), &shared.service, &shared.locality)
        {
            if let Some(report) = executor.probe_upstream(path).await {
                executor.adopt(&report, Instant::now());
                info!(shared.log, "upstream found by its health check";
                    "upstream" => report.process, "slots" => report.slots);
            }
            // The result of a failed check is left to the reports of the upstream.
            return;
        }
        sleep(CHECK_PAUSE).await;
    }
}

/// Returns whether the upstream of an instance is listed as ready.
fn is_listed(directory: &Directory, service: &str, locality: &Locality) -> bool {
    let route = directory.route(service);
    route.is_some_and(|route| {
        let mut endpoints = route.endpoints();
        endpoints.any(|endpoint| endpoint.instance == locality.instance)
    })
}
