//! Replays of load patterns against the decisions of a relaying node.

use lentilshunt_fake::overload::{Discipline, Model, Pattern, Placement, Settings, Summary};
use rstest::rstest;

/// Seeds over which results are averaged.
const SEEDS: [u64; 3] = [1, 2, 3];

fn play(pattern: Pattern, discipline: Discipline, placement: Placement) -> Vec<Summary> {
    let run = |seed| {
        Model::new(Settings {
            pattern,
            discipline,
            placement,
            upstreams: 18,
            seed,
        })
        .run()
    };
    SEEDS.into_iter().map(run).collect()
}

/// Returns the mean of a figure over the seeds.
fn mean(summaries: &[Summary], figure: impl Fn(&Summary) -> f64) -> f64 {
    let count = u32::try_from(summaries.len()).unwrap_or(u32::MAX);
    summaries.iter().map(figure).sum::<f64>() / f64::from(count)
}

#[test]
fn run_is_deterministic() {
    let runs = || play(Pattern::Burst, Discipline::Product, Placement::Product);
    assert_eq!(runs(), runs());
}

#[test]
fn run_calm() {
    let calm = play(Pattern::Calm, Discipline::Product, Placement::Product);
    let served = mean(&calm, |summary| summary.total.served());
    assert!(served > 0.99, "{served} served");
}

// In each of these patterns more requests come than can run in time for some seconds.
#[rstest]
#[case(Pattern::Burst)]
#[case(Pattern::Impatient)]
#[case(Pattern::PowerLoss)]
fn run_overloaded(#[case] pattern: Pattern) {
    let worth = |discipline| {
        let summaries = play(pattern, discipline, Placement::Product);
        mean(&summaries, |summary| summary.total.worth())
    };
    let product = worth(Discipline::Product);
    for discipline in Discipline::ALL {
        let other = worth(discipline);
        println!("{} {} {other:.4}", pattern.name(), discipline.name());
        assert!(
            product >= other,
            "{}: {other} > {product}",
            discipline.name()
        );
    }
}
