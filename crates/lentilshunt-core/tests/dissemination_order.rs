//! Messages that are delayed, duplicated and delivered out of order.

mod fleet;

use std::time::Duration;

use fleet::{
    NODE_COUNT, RECOVERY_LIMIT, SETTLE_TIME, accept, assert_versions_ascend, assert_views_accurate,
    run_until_installed, started_fleet,
};
use lentilshunt_core::membership::Phase;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 8,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_converge_after_delays_and_duplicates(
        seed in 0_u64..1000,
        delay_ms in 0_u64..400,
        duplicate_probability in 0.0..0.5,
        steps in proptest::collection::vec((0..NODE_COUNT, 0_u8..5), 20..40),
    ) {
        let mut fleet = started_fleet(seed);
        fleet.max_extra_delay = Duration::from_millis(delay_ms);
        fleet.duplicate_probability = duplicate_probability;
        let mut version = 1;
        // Steps 0 to 3 change one node: drain, ready, kill, start. Step 4 accepts a version.
        for (index, step) in steps {
            match step {
                0 => fleet.announce(index, Phase::Draining, 0),
                1 => fleet.announce(index, Phase::Ready, 900),
                2 => fleet.kill(index),
                3 => fleet.start(index),
                _ => {
                    version += 1;
                    accept(&mut fleet, version);
                }
            }
            fleet.run_for(Duration::from_millis(400));
        }
        fleet.max_extra_delay = Duration::ZERO;
        fleet.duplicate_probability = 0.0;
        run_until_installed(&mut fleet, RECOVERY_LIMIT, version);
        fleet.run_for(SETTLE_TIME);
        assert_views_accurate(&fleet);
        assert_versions_ascend(&fleet);
    }
}
