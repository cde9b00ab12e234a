//! Measures what a hop adds to the latency of a call.

use std::{path::Path, time::Duration};

use bytes::Bytes;
use lentilshunt_load::{fleet::Server, report::Percentiles};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use snafu::Whatever;

use super::{
    Arguments,
    client::{self, Call, Outcome},
    report::Latency,
    scene::Scene,
};

/// Ways of the calls, sent in turn.
const WAYS: [&str; 3] = ["direct", "one-hop", "two-hops"];
/// Calls each second, of all ways together.
const RATES: [f64; 3] = [300.0, 1500.0, 4500.0];
/// Time that a caller waits.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time of the calls before the measurement.
const WARM_UP: Duration = Duration::from_secs(2);

/// Sends the same calls straight to upstreams and through nodes.
pub async fn measure(root: &Path, arguments: &Arguments) -> Result<Vec<Latency>, Whatever> {
    let scene = Scene::start(root, arguments, 0, "").await?;
    let (service, caller) = scene.service()?;
    let (own, others): (Vec<Server>, Vec<Server>) = scene
        .servers()
        .iter()
        .cloned()
        .partition(|server| server.service == service);
    let mut random = StdRng::seed_from_u64(arguments.seed);
    let mut next = |serial: u64, random: &mut StdRng| {
        let kind = usize::try_from(serial).unwrap_or_default() % WAYS.len();
        let target = &own[random.random_range(0..own.len())];
        let address = match kind {
            0 => target.upstream_address(),
            1 => target.callers_address(),
            _ => others[random.random_range(0..others.len())].callers_address(),
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
        let used = scene.processor()?;
        let outcomes = client::run(rate, duration, &mut random, &mut next).await;
        let used = scene.processor()?.saturating_sub(used);
        rows.extend(rows_of(rate, &outcomes, used));
    }
    scene.stop()?;
    Ok(rows)
}

fn rows_of(rate: f64, outcomes: &[Outcome], used: Duration) -> Vec<Latency> {
    // A direct call passes no node, the others one and two.
    let passages: usize = outcomes.iter().map(|outcome| outcome.kind).sum();
    let processor_us = micros(used) / passages.max(1) as u64;
    let of_kind = |kind| outcomes.iter().filter(move |outcome| outcome.kind == kind);
    let percentiles = |kind| {
        let answered = of_kind(kind).filter(|outcome| outcome.is_answered);
        Percentiles::from_us(answered.map(|outcome| micros(outcome.latency)))
    };
    let direct = percentiles(0);
    let added = |value: Option<f64>, base: Option<f64>| Some(value? - base?);
    (0..WAYS.len())
        .map(|kind| {
            let time_ms = percentiles(kind);
            let answered = of_kind(kind).filter(|outcome| outcome.is_answered).count();
            Latency {
                rate,
                way: WAYS[kind],
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

/// Returns whole microseconds.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
