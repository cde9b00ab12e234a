//! Measures the latency that each hop adds to a call.

use std::{path::Path, time::Duration};

use bytes::Bytes;
use lentilshunt_load::{fleet::Server, report::Percentiles};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use snafu::Whatever;

use super::{
    Arguments,
    client::{self, Call, Outcome},
    fleet::MeasuredFleet,
    report::Latency,
};

/// Paths of the calls, used in turn.
const PATHS: [&str; 3] = ["direct", "one-hop", "two-hops"];
/// Calls per second, over all paths.
const RATES: [f64; 3] = [300.0, 1500.0, 4500.0];
/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of the calls before the measurement.
const WARM_UP: Duration = Duration::from_secs(2);

/// Sends the same calls directly to upstreams and through nodes.
pub async fn measure(root: &Path, arguments: &Arguments) -> Result<Vec<Latency>, Whatever> {
    let fleet = MeasuredFleet::start(root, arguments, 0, "").await?;
    let (service, caller) = fleet.first_service()?;
    let (called_servers, other_servers): (Vec<Server>, Vec<Server>) = fleet
        .servers()
        .iter()
        .cloned()
        .partition(|server| server.service == service);
    let mut random = StdRng::seed_from_u64(arguments.seed);
    let mut next = |serial: u64, random: &mut StdRng| {
        let kind = usize::try_from(serial).unwrap_or_default() % PATHS.len();
        let target = &called_servers[random.random_range(0..called_servers.len())];
        let address = match kind {
            0 => target.upstream_address(),
            1 => target.callers_address(),
            _ => other_servers[random.random_range(0..other_servers.len())].callers_address(),
        };
        let call = Call {
            addresses: vec![address],
            service: service.clone(),
            caller: caller.clone(),
            path: format!("/{service}/{serial}"),
            body: Bytes::from_static(b"latency"),
            timeout: TIMEOUT,
        };
        (kind, call)
    };
    let mut rows = Vec::new();
    for rate in RATES {
        client::run(rate, WARM_UP, &mut random, &mut next).await;
        let duration = Duration::from_secs(arguments.duration);
        let cpu_time_before = fleet.cpu_time()?;
        let outcomes = client::run(rate, duration, &mut random, &mut next).await;
        let cpu_time = fleet.cpu_time()?.saturating_sub(cpu_time_before);
        rows.extend(summarize(rate, &outcomes, cpu_time));
    }
    fleet.stop()?;
    Ok(rows)
}

fn summarize(rate: f64, outcomes: &[Outcome], cpu_time: Duration) -> Vec<Latency> {
    // A direct call passes no node; the other kinds pass one and two.
    let node_passages: usize = outcomes.iter().map(|outcome| outcome.kind).sum();
    let processor_us = micros(cpu_time) / node_passages.max(1) as u64;
    let of_kind = |kind| outcomes.iter().filter(move |outcome| outcome.kind == kind);
    let percentiles = |kind| {
        let answered = of_kind(kind).filter(|outcome| outcome.is_successful);
        Percentiles::from_us(answered.map(|outcome| micros(outcome.latency)))
    };
    let direct = percentiles(0);
    let added = |value: Option<f64>, base: Option<f64>| Some(value? - base?);
    (0..PATHS.len())
        .map(|kind| {
            let time_ms = percentiles(kind);
            let answered = of_kind(kind)
                .filter(|outcome| outcome.is_successful)
                .count();
            Latency {
                rate,
                way: PATHS[kind],
                answered,
                failed: of_kind(kind).count() - answered,
                processor_us,
                added_p50_ms: added(time_ms.p50, direct.p50),
                added_p99_ms: added(time_ms.p99, direct.p99),
                time_ms,
            }
        })
        .collect()
}

/// Returns the duration in microseconds.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
