//! Measures goodput against offered load, and bytes between regions.

use std::{net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use lentilshunt_load::{fleet::Server, report::Percentiles};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use snafu::Whatever;

use super::{
    Arguments,
    client::{self, Call, Outcome},
    latency::micros,
    report::Goodput,
    scene::Scene,
};

/// Time that a request runs, in microseconds.
const RUN_US: u64 = 50_000;
/// Microseconds in a second.
const SECOND_US: f64 = 1_000_000.0;
/// Offered loads as multiples of the capacity.
const OFFERED: [f64; 4] = [0.5, 1.0, 2.0, 4.0];
/// Time that a caller gives each attempt.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts of a caller that sends failed calls again.
const CALLER_ATTEMPTS: usize = 3;
/// Bytes of a request body; the answer holds them too.
const BODY_BYTES: usize = 1000;
/// Time between two steps.
const PAUSE: Duration = Duration::from_secs(1);
/// Time after the start in which endpoints get their full share.
const WARM_UP: Duration = Duration::from_secs(6);

/// Ways of the nodes, with their lines of the section `[calls]`.
const WAYS: [(&str, &str); 3] = [
    ("local", "policy = local"),
    ("round-robin", "policy = round-robin"),
    ("local, no budget", "policy = local\nretry_percent = 1000"),
];

/// Offers each way less and more than the capacity of one service.
pub async fn measure(root: &Path, arguments: &Arguments) -> Result<Vec<Goodput>, Whatever> {
    let mut rows = Vec::new();
    for (way, calls) in WAYS {
        let scene = Scene::start(root, arguments, RUN_US, calls).await?;
        tokio::time::sleep(WARM_UP).await;
        for caller_retries in [false, true] {
            for offered in OFFERED {
                let step = Step {
                    scene: &scene,
                    way,
                    caller_retries,
                    offered,
                };
                rows.push(step.run(arguments).await?);
                tokio::time::sleep(PAUSE).await;
            }
        }
        scene.stop()?;
    }
    Ok(rows)
}

/// One way at one offered load.
struct Step<'a> {
    scene: &'a Scene,
    way: &'static str,
    caller_retries: bool,
    offered: f64,
}

impl Step<'_> {
    async fn run(&self, arguments: &Arguments) -> Result<Goodput, Whatever> {
        let (service, caller) = self.scene.service()?;
        let servers = self.scene.servers();
        let nodes: Vec<SocketAddr> = servers.iter().map(Server::callers_address).collect();
        let slots = servers.iter().filter(|server| server.service == service);
        let slots: u32 = slots.map(|server| server.slots).sum();
        let rate = f64::from(slots) * SECOND_US / as_float(RUN_US) * self.offered;
        let attempts = if self.caller_retries {
            CALLER_ATTEMPTS
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
        let before = self.counted().await;
        let outcomes = client::run(rate, duration, &mut random, next).await;
        let after = self.counted().await;
        let sent = as_float(outcomes.len() as u64);
        Ok(Goodput {
            way: self.way,
            caller_retries: self.caller_retries,
            offered: self.offered,
            calls_per_second: sent / duration.as_secs_f64(),
            answered_per_second: answered(&outcomes) / duration.as_secs_f64(),
            attempts_per_call: as_float(after.0 - before.0) / sent,
            region_bytes_per_call: as_float(after.1 - before.1) / sent,
            time_ms: Percentiles::from_us(
                in_time(&outcomes).map(|outcome| micros(outcome.latency)),
            ),
        })
    }

    /// Returns the attempts of all nodes, and their bytes between regions.
    async fn counted(&self) -> (u64, u64) {
        let attempts = self.scene.counter("lentilshunt_attempts_total", "distance");
        let attempts = attempts.await.values().sum();
        let bytes = self
            .scene
            .counter("lentilshunt_attempt_bytes_total", "distance");
        let abroad = bytes.await.get("other-region").copied();
        (attempts, abroad.unwrap_or_default())
    }
}

fn in_time(outcomes: &[Outcome]) -> impl Iterator<Item = &Outcome> {
    outcomes
        .iter()
        .filter(|outcome| outcome.is_answered && outcome.latency <= TIMEOUT)
}

fn answered(outcomes: &[Outcome]) -> f64 {
    as_float(in_time(outcomes).count() as u64)
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn as_float(count: u64) -> f64 {
    count as f64
}
