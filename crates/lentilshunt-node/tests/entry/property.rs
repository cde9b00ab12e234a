//! Property: a request that is not idempotent is retried only after attempts that have not run.

use std::time::Duration;

use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_schema::call::Resolution;
use proptest::prelude::*;

use super::fixture::{Fixture, ResolutionResponse, Step};

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
        Just(Step::NoResponse),
        (0_u64..2000, verdict, reason).prop_map(|(ms, verdict, reason)| {
            let reason = (verdict != Verdict::Ran).then_some(reason);
            Step::Reply(Duration::from_millis(ms), verdict, reason)
        }),
    ]
}

fn resolution() -> impl Strategy<Value = ResolutionResponse> {
    prop_oneof![
        Just(None),
        Just(Some(Resolution::Barred)),
        Just(Some(Resolution::Running)),
        Just(Some(Resolution::Answered)),
        Just(Some(Resolution::MayHaveRun)),
    ]
}

/// Counts the attempts that have certainly not run: refused, or barred by a resolution request.
fn count_not_run(steps: &[Step], resolutions: &[ResolutionResponse]) -> usize {
    let refused = |step: &&Step| matches!(step, Step::Reply(_, Verdict::NotRun, _));
    let barred = resolutions
        .iter()
        .filter(|resolution| **resolution == Some(Resolution::Barred));
    steps.iter().filter(refused).count() + barred.count()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn dispatch_retries_only_after_not_run(
        steps in proptest::collection::vec(step(), 3),
        resolutions in proptest::collection::vec(resolution(), 0..6),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("failed to build the runtime");
        let fixture = Fixture::new(4).steps(&steps).resolutions(&resolutions);
        let (verdict, _) = runtime.block_on(fixture.call(false));
        let (executed, resolution_requests) = fixture.request_counts();
        let earlier = &steps[..executed - 1];
        let received = &resolutions[..resolution_requests.min(resolutions.len())];
        prop_assert!(executed - 1 <= count_not_run(earlier, received), "{executed} attempts");
        // The verdict is `NotRun` only if every attempt was refused or barred.
        if verdict == Verdict::NotRun {
            prop_assert!(executed <= count_not_run(&steps[..executed], received));
        }
    }
}
