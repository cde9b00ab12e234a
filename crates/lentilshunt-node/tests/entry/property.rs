//! A request that may run once has no second attempt unless the last had not run.

use std::time::Duration;

use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_schema::call::Resolution;
use proptest::prelude::*;

use super::fixture::{Fixture, Step, Told};

fn step() -> impl Strategy<Value = Step> {
    let reason = prop_oneof![
        Just(Reason::QueueFull),
        Just(Reason::Deadline),
        Just(Reason::Unreachable),
        Just(Reason::ConnectionLost),
        Just(Reason::UpstreamLost),
        Just(Reason::BadAnswer),
    ];
    let verdict = prop_oneof![
        Just(Verdict::NotRun),
        Just(Verdict::MayHaveRun),
        Just(Verdict::Ran)
    ];
    prop_oneof![
        Just(Step::Silent),
        (0_u64..2000, verdict, reason).prop_map(|(ms, verdict, reason)| {
            let reason = (verdict != Verdict::Ran).then_some(reason);
            Step::Reply(Duration::from_millis(ms), verdict, reason)
        }),
    ]
}

fn told() -> impl Strategy<Value = Told> {
    prop_oneof![
        Just(None),
        Just(Some(Resolution::Barred)),
        Just(Some(Resolution::Running)),
        Just(Some(Resolution::Answered)),
        Just(Some(Resolution::MayHaveRun)),
    ]
}

/// Returns whether an attempt had certainly not run: it was refused, or barred by a question.
fn not_run(steps: &[Step], told: &[Told]) -> usize {
    let refused = |step: &&Step| matches!(step, Step::Reply(_, Verdict::NotRun, _));
    let barred = told
        .iter()
        .filter(|told| **told == Some(Resolution::Barred));
    steps.iter().filter(refused).count() + barred.count()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn dispatch_at_most_once(
        steps in proptest::collection::vec(step(), 3),
        told in proptest::collection::vec(told(), 0..6),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let fixture = Fixture::new(4).steps(&steps).resolutions(&told);
        let (verdict, _) = runtime.block_on(fixture.call(false));
        let (executed, asked) = fixture.counts();
        let before = &steps[..executed - 1];
        let heard = &told[..asked.min(told.len())];
        prop_assert!(executed - 1 <= not_run(before, heard), "{executed} attempts");
        // Nothing is told to be not run unless every attempt was refused or barred.
        if verdict == Verdict::NotRun {
            prop_assert!(executed <= not_run(&steps[..executed], heard));
        }
    }
}
