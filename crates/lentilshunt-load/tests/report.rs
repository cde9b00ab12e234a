//! Aggregation of metrics and percentiles, and generation of schedules.

use std::time::Duration;

use lentilshunt_core::config::Snapshot;
use lentilshunt_load::{
    chaos::generate_schedule,
    fleet::Layout,
    report::{ControlBytes, Percentiles},
};

#[test]
fn control_bytes_from_metrics() {
    let first = "# TYPE lentilshunt_control_bytes_total counter\n\
                 lentilshunt_control_bytes_total{link=\"same_domain\"} 10\n\
                 lentilshunt_control_bytes_total{direction=\"in\",link=\"platform\"} 5\n";
    let second = "lentilshunt_control_bytes_total{link=\"same_domain\"} 7\nother 3\n";
    let expected = ControlBytes {
        same_domain: Some(17),
        platform: Some(5),
        ..ControlBytes::default()
    };
    assert_eq!(ControlBytes::from_metrics([first, second]), expected);
}

#[test]
fn percentiles_difference() {
    let routed = Percentiles::from_us([2000, 2000, 4000]);
    let direct = Percentiles::from_us([1000, 1000, 1000]);
    let added = routed.difference(&direct);
    assert!(added.p50.is_some_and(|ms| (ms - 1.0).abs() < 0.01));
    assert!(added.p99.is_some_and(|ms| (ms - 3.0).abs() < 0.01));
    assert_eq!(added.max, None);
    let empty = Percentiles::default();
    assert_eq!(empty.difference(&direct), empty);
}

#[test]
fn generate_schedule_same_seed() {
    let layout = Layout::new(&Snapshot::default(), 2, 1);
    let generate = |seed| generate_schedule(&layout, seed, Duration::from_secs(20), false);
    assert_eq!(generate(7), generate(7));
    assert_ne!(generate(7), generate(8));
}

#[test]
fn generate_schedule_planned_only() {
    let layout = Layout::new(&Snapshot::default(), 2, 1);
    let steps = generate_schedule(&layout, 7, Duration::from_secs(20), true);
    assert!(steps.iter().all(|step| step.disruption.is_planned()));
}
