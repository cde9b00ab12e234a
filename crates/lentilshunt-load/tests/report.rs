//! How figures of a run are summed up.

use std::time::Duration;

use lentilshunt_core::config::Snapshot;
use lentilshunt_load::{
    chaos::schedule,
    fleet::Layout,
    report::{ControlBytes, Percentiles},
};

#[test]
fn sum_control_bytes() {
    let first = "# TYPE lentilshunt_control_bytes_total counter\n\
                 lentilshunt_control_bytes_total{link=\"same_domain\"} 10\n\
                 lentilshunt_control_bytes_total{direction=\"in\",link=\"platform\"} 5\n";
    let second = "lentilshunt_control_bytes_total{link=\"same_domain\"} 7\nother 3\n";
    let expected = ControlBytes {
        same_domain: Some(17),
        platform: Some(5),
        ..ControlBytes::default()
    };
    assert_eq!(ControlBytes::sum([first, second]), expected);
}

#[test]
fn above_percentiles() {
    let through = Percentiles::of_us([2000, 2000, 4000]);
    let direct = Percentiles::of_us([1000, 1000, 1000]);
    let added = through.above(&direct);
    assert!(added.p50.is_some_and(|ms| (ms - 1.0).abs() < 0.01));
    assert!(added.p99.is_some_and(|ms| (ms - 3.0).abs() < 0.01));
    assert_eq!(added.max, None);
    let nothing = Percentiles::default();
    assert_eq!(nothing.above(&direct), nothing);
}

#[test]
fn schedule_seed() {
    let layout = Layout::new(&Snapshot::default(), 2, 1);
    let draw = |seed| schedule(&layout, seed, Duration::from_secs(20), false);
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

#[test]
fn schedule_planned() {
    let layout = Layout::new(&Snapshot::default(), 2, 1);
    let steps = schedule(&layout, 7, Duration::from_secs(20), true);
    assert!(steps.iter().all(|step| step.trouble.is_planned()));
}
