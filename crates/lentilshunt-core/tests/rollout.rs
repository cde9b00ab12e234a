//! Drawn roll-outs, judged in virtual time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    membership::{Endpoint, Phase},
    overload::Kind,
    rollout::{Evidence, KindSample, Mode, Order, Outcome, Plan, Report, Sample, Trial},
    routing::ServiceRoute,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, LogNormal};
use rstest::rstest;

const LOOKUP: Kind = Kind {
    rank: 2,
    idempotent: true,
};
const ORDER: Kind = Kind {
    rank: 1,
    idempotent: false,
};
/// Share of the requests that a version on trial may get, in thousandths.
const ALLOWED_SHARE: u16 = 100;
/// Requests beyond the share that operators tolerate.
const TOLERANCE: f64 = 50.0;
const STEP: Duration = Duration::from_millis(300);
/// Upstreams of each version.
const UPSTREAMS: usize = 14;
/// Requests of each kind per step, over all upstreams.
const REQUESTS: usize = 120;

/// What the upstreams do.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// All versions fail one in five, as a dependency fails.
    Shared,
    /// The new version fails one in five.
    Fails,
    /// The same on one kind only.
    FailsOnOrders,
    /// The same from the fourth second on.
    FailsLate,
    /// The new version takes three times as long.
    Slow,
}

fn order() -> Order {
    Order {
        service: "yard".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(12),
    }
}

/// Draws a roll-out and returns its outcome, with the requests that the new version got during the
/// trial beyond its allowed share, and the time of the outcome.
fn draw(fault: Fault, seed: u64) -> (Outcome, f64, Duration) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let started_at = now;
    let mut trial = Trial::new(order(), ALLOWED_SHARE, now);
    let speeds: Vec<f64> = (0..2 * UPSTREAMS)
        .map(|_| [0.7, 0.7, 1.6][random.random_range(0..3)])
        .collect();
    let times = LogNormal::new(0.16_f64.ln(), 0.6).unwrap();
    let mut evidence = vec![Evidence::default(); 2 * UPSTREAMS];
    let (mut new_runs, mut runs) = (0.0, 0.0);
    while trial.outcome() == Outcome::Active && now - started_at < Duration::from_secs(20) {
        let mode = trial.mode();
        for kind in [LOOKUP, ORDER] {
            for _ in 0..REQUESTS {
                let is_new = match mode {
                    Mode::Trial(share) => random.random_range(0..1000) < share,
                    Mode::Stopped => false,
                    Mode::Shifted => true,
                };
                let upstream = random.random_range(0..UPSTREAMS) + usize::from(is_new) * UPSTREAMS;
                let is_late = now - started_at > Duration::from_secs(4);
                let fails = match fault {
                    Fault::Shared => true,
                    Fault::Fails => is_new,
                    Fault::FailsOnOrders => is_new && kind == ORDER,
                    Fault::FailsLate => is_new && is_late,
                    Fault::None | Fault::Slow => false,
                };
                let has_failed = random.random::<f64>() < if fails { 0.2 } else { 0.004 };
                let is_slow = is_new && matches!(fault, Fault::Slow);
                let factor = speeds[upstream] * if is_slow { 3.0 } else { 1.0 };
                let time = Duration::from_secs_f64(times.sample(&mut random) * factor);
                evidence[upstream].record(kind, has_failed, Some(time));
                if matches!(mode, Mode::Trial(_)) {
                    new_runs += f64::from(u8::from(is_new));
                    runs += 1.0;
                }
            }
        }
        for (upstream, evidence) in evidence.iter().enumerate() {
            trial.settle(report(upstream, mode, evidence.clone()), now);
        }
        now += STEP;
    }
    let allowed = runs * f64::from(ALLOWED_SHARE) / 1000.0;
    (trial.outcome(), new_runs - allowed, now - started_at)
}

fn report(upstream: usize, mode: Mode, evidence: Evidence) -> Report {
    Report {
        node: format!("n{upstream}"),
        service: "yard".to_owned(),
        version: "v2".to_owned(),
        age_ms: 0,
        mode,
        is_new: Some(upstream >= UPSTREAMS),
        evidence,
    }
}

// A good version is completed in time, also while both versions fail alike.
#[rstest]
#[case(Fault::None)]
#[case(Fault::Shared)]
fn settle_good_version(#[case] fault: Fault) {
    let drawn = (0..100).map(|seed| draw(fault, seed));
    let wrong = drawn.filter(|(outcome, excess, ended)| {
        *outcome != Outcome::Completed || *excess > TOLERANCE || *ended > Duration::from_secs(11)
    });
    let wrong: Vec<_> = wrong.collect();
    assert!(wrong.len() <= 2, "{wrong:?}");
}

#[rstest]
#[case(Fault::Fails)]
#[case(Fault::FailsOnOrders)]
#[case(Fault::FailsLate)]
#[case(Fault::Slow)]
fn settle_bad_version(#[case] fault: Fault) {
    let drawn = (0..100).map(|seed| draw(fault, seed));
    let missed =
        drawn.filter(|(outcome, excess, _)| *outcome != Outcome::Reverted || *excess > TOLERANCE);
    assert_eq!(missed.collect::<Vec<_>>(), []);
}

// Nothing speaks for a version that has not run.
#[test]
fn settle_without_runs() {
    let now = Instant::now();
    let mut trial = Trial::new(order(), ALLOWED_SHARE, now);
    let mode = trial.mode();
    trial.settle(report(0, mode, Evidence::default()), now + STEP);
    assert_eq!(trial.outcome(), Outcome::Active);
    let late = now + Duration::from_secs(8);
    trial.settle(report(0, mode, Evidence::default()), late);
    assert_eq!(
        (trial.outcome(), trial.mode()),
        (Outcome::Reverted, Mode::Stopped)
    );
}

// The next coordinator has the sums and the age of the order after one interval.
#[test]
fn settle_after_coordinator_is_lost() {
    let now = Instant::now();
    let mut evidence = Evidence::default();
    for _ in 0..40 {
        evidence.record(LOOKUP, false, Some(STEP));
    }
    let mut next = Trial::new(order(), ALLOWED_SHARE, now);
    let known = Report {
        age_ms: 9000,
        ..report(UPSTREAMS, next.mode(), evidence)
    };
    // The process has run for longer than the order is old.
    let now = now + Duration::from_secs(20);
    let mut next_at = Trial::new(order(), ALLOWED_SHARE, now);
    next_at.settle(known.clone(), now);
    assert_eq!(next_at.mode(), Mode::Shifted);
    next.adopt(Outcome::Reverted);
    next.settle(known, now);
    assert_eq!(next.mode(), Mode::Stopped);
}

// The old upstreams stop at once after completion, so that no node may still send to them.
#[test]
fn settle_waits_for_every_node() {
    let now = Instant::now();
    let mut trial = Trial::new(order(), ALLOWED_SHARE, now);
    let mut evidence = Evidence::default();
    for _ in 0..40 {
        evidence.record(LOOKUP, false, Some(STEP));
    }
    let trial_mode = trial.mode();
    let mut now = now + Duration::from_secs(8);
    trial.settle(report(20, trial_mode, evidence.clone()), now);
    assert_eq!(trial.mode(), Mode::Shifted);
    for _ in 0..10 {
        now += STEP;
        trial.settle(report(20, Mode::Shifted, evidence.clone()), now);
        trial.settle(report(1, trial_mode, Evidence::default()), now);
    }
    assert_eq!(trial.outcome(), Outcome::Active);
    for _ in 0..6 {
        now += STEP;
        trial.settle(report(20, Mode::Shifted, evidence.clone()), now);
        trial.settle(report(1, Mode::Shifted, Evidence::default()), now);
    }
    assert_eq!(trial.outcome(), Outcome::Completed);
}

fn endpoint(instance: &str, version: &str) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        instance: instance.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "coast".to_owned(),
        domain: "yard".to_owned(),
        incarnation: 1,
        service: "yard".to_owned(),
        version: version.to_owned(),
        phase: Phase::Ready,
        slots: 2,
        free_slots: 2,
    })
}

#[rstest]
#[case(Mode::Trial(80), true, 79, &["new"])]
#[case(Mode::Trial(80), true, 80, &["old", "unnamed"])]
#[case(Mode::Trial(80), false, 79, &["old", "unnamed"])]
#[case(Mode::Stopped, true, 0, &["old", "unnamed"])]
#[case(Mode::Shifted, false, 999, &["new"])]
fn select_version(
    #[case] mode: Mode,
    #[case] is_first: bool,
    #[case] random: u16,
    #[case] expected: &[&str],
) {
    let route = ServiceRoute {
        service: lentilshunt_core::config::Service::default(),
        tiers: [
            vec![endpoint("old", "v1")],
            vec![endpoint("new", "v2")],
            vec![endpoint("unnamed", "")],
            vec![],
        ],
    };
    let plan = Plan {
        version: "v2".to_owned(),
        mode,
    };
    let selected = plan.select(&route, is_first, random);
    let selected: Vec<_> = selected
        .endpoints()
        .map(|endpoint| endpoint.instance.as_str())
        .collect();
    assert_eq!(selected, expected);
}

// A report with the highest numbers must not end the node that decides.
#[rstest]
#[case(f64::INFINITY)]
#[case(f64::NEG_INFINITY)]
#[case(f64::NAN)]
fn settle_highest_numbers(#[case] log_time: f64) {
    let now = Instant::now();
    let order = Order {
        duration: Duration::from_secs(1_000_000_000),
        ..order()
    };
    let mut trial = Trial::new(order, u16::MAX, now);
    let sample = Sample {
        runs: u32::MAX,
        failed: 0,
        timed: u32::MAX,
        log_time,
    };
    let kind = KindSample {
        rank: u8::MAX,
        idempotent: true,
        sample,
    };
    for (node, is_new) in [("a", true), ("b", false)] {
        let report = Report {
            node: node.to_owned(),
            service: "yard".to_owned(),
            version: "v2".to_owned(),
            age_ms: u64::MAX,
            mode: Mode::Trial(u16::MAX),
            is_new: Some(is_new),
            evidence: Evidence { kinds: vec![kind] },
        };
        trial.settle(report, now);
    }
    assert_eq!(trial.fault(), None);
    assert_eq!(trial.age(now), Duration::from_millis(u64::MAX));
    assert_eq!(trial.outcome(), Outcome::Active);
}
