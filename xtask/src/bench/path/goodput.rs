//! Measures goodput by offered load, and bytes between regions.

use std::{net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use lentilshunt_load::{fleet::Server, report::Percentiles};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use snafu::Whatever;

use super::{
    Arguments,
    client::{self, Call, Outcome},
    fleet::MeasuredFleet,
    latency::micros,
    report::Goodput,
};

/// Run time of a request, in microseconds.
const RUN_TIME_US: u64 = 50_000;
/// Microseconds in a second.
const US_PER_SECOND: f64 = 1_000_000.0;
/// Offered loads as multiples of the capacity of a service.
const OFFERED_LOADS: [f64; 4] = [0.5, 1.0, 2.0, 4.0];
/// Timeout of each attempt of a caller.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum attempts of a caller that retries.
const MAX_CALLER_ATTEMPTS: usize = 3;
/// Size of a request body, which the response contains too.
const BODY_BYTES: usize = 1000;
/// Pause between steps.
const STEP_PAUSE: Duration = Duration::from_secs(1);
/// Time after the start until endpoints receive their full share.
const WARM_UP: Duration = Duration::from_secs(6);

/// Variants of the node settings, with their lines of the section `[calls]`.
const VARIANTS: [(&str, &str); 3] = [
    ("local", "policy = local"),
    ("round-robin", "policy = round-robin"),
    ("local, no budget", "policy = local\nretry_percent = 1000"),
];

/// Runs each variant below and above the capacity of one service.
pub async fn measure(root: &Path, arguments: &Arguments) -> Result<Vec<Goodput>, Whatever> {
    let mut rows = Vec::new();
    for (variant, calls_section) in VARIANTS {
        let fleet = MeasuredFleet::start(root, arguments, RUN_TIME_US, calls_section).await?;
        tokio::time::sleep(WARM_UP).await;
        for caller_retries in [false, true] {
            for offered in OFFERED_LOADS {
                let step = Step {
                    fleet: &fleet,
                    variant,
                    caller_retries,
                    offered,
                };
                rows.push(step.run(arguments).await?);
                tokio::time::sleep(STEP_PAUSE).await;
            }
        }
        fleet.stop()?;
    }
    Ok(rows)
}

/// One variant at one offered load.
struct Step<'a> {
    fleet: &'a MeasuredFleet,
    variant: &'static str,
    caller_retries: bool,
    offered: f64,
}

impl Step<'_> {
    async fn run(&self, arguments: &Arguments) -> Result<Goodput, Whatever> {
        let (service, caller) = self.fleet.first_service()?;
        let servers = self.fleet.servers();
        let nodes: Vec<SocketAddr> = servers.iter().map(Server::callers_address).collect();
        let slots = servers.iter().filter(|server| server.service == service);
        let slots: u32 = slots.map(|server| server.slots).sum();
        let rate = f64::from(slots) * US_PER_SECOND / as_float(RUN_TIME_US) * self.offered;
        let attempts = if self.caller_retries {
            MAX_CALLER_ATTEMPTS
        } else {
            1
        };
        let body = Bytes::from(vec![b'x'; BODY_BYTES]);
        let next = |serial: u64, random: &mut StdRng| {
            let addresses = (0..attempts).map(|_| nodes[random.random_range(0..nodes.len())]);
            let call = Call {
                addresses: addresses.collect(),
                service: service.clone(),
                caller: caller.clone(),
                path: format!(
                    "/{service}/{}-{}/{serial}",
                    self.offered, self.caller_retries
                ),
                body: body.clone(),
                timeout: TIMEOUT,
            };
            (0, call)
        };
        let duration = Duration::from_secs(arguments.duration);
        let mut random = StdRng::seed_from_u64(arguments.seed);
        let before = self.read_counters().await;
        let outcomes = client::run(rate, duration, &mut random, next).await;
        let after = self.read_counters().await;
        let sent = as_float(outcomes.len() as u64);
        Ok(Goodput {
            way: self.variant,
            caller_retries: self.caller_retries,
            offered: self.offered,
            calls_per_second: sent / duration.as_secs_f64(),
            answered_per_second: count_successful(&outcomes) / duration.as_secs_f64(),
            attempts_per_call: as_float(after.0 - before.0) / sent,
            region_bytes_per_call: as_float(after.1 - before.1) / sent,
            time_ms: Percentiles::from_us(
                successful(&outcomes).map(|outcome| micros(outcome.latency)),
            ),
        })
    }

    /// Returns the number of attempts of all nodes and their payload bytes between regions.
    async fn read_counters(&self) -> (u64, u64) {
        let attempts = self
            .fleet
            .sum_counter("lentilshunt_attempts_total", "distance");
        let attempts = attempts.await.values().sum();
        let bytes = self
            .fleet
            .sum_counter("lentilshunt_attempt_bytes_total", "distance");
        let cross_region = bytes.await.get("other-region").copied();
        (attempts, cross_region.unwrap_or_default())
    }
}

fn successful(outcomes: &[Outcome]) -> impl Iterator<Item = &Outcome> {
    outcomes
        .iter()
        .filter(|outcome| outcome.is_successful && outcome.latency <= TIMEOUT)
}

fn count_successful(outcomes: &[Outcome]) -> f64 {
    as_float(successful(outcomes).count() as u64)
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn as_float(count: u64) -> f64 {
    count as f64
}
