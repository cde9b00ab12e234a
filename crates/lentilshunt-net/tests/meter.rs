//! Tests of metrics that nobody fetches.

use std::{fs, time::Duration};

use lentilshunt_net::meter;
use tokio::time::sleep;

/// Values that are recorded, those of some days of requests.
const SECONDS: usize = 200;
const VALUES_PER_SECOND: usize = 10_000;
/// Growth of the memory that is allowed; a value takes 8 bytes.
const MAX_GROWTH_KIB: usize = 8 * 1024;

fn resident_kib() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).expect("a size")
}

// A node grew with each request until it was killed for its memory.
#[tokio::test(start_paused = true)]
async fn maintain_metrics_that_nobody_fetches() {
    let handle = meter::install();
    let maintaining = tokio::spawn(meter::maintain(handle.clone()));
    let mut before = None;
    for _second in 0..SECONDS {
        for _value in 0..VALUES_PER_SECOND {
            metrics::histogram!("lentilshunt_request_seconds").record(0.1);
        }
        sleep(Duration::from_secs(1)).await;
        // The memory of the first seconds is used again.
        before.get_or_insert_with(resident_kib);
    }
    let growth = resident_kib().saturating_sub(before.expect("a first second"));
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB");
    let count = format!(
        "lentilshunt_request_seconds_count {}",
        SECONDS * VALUES_PER_SECOND
    );
    assert!(handle.render().contains(&count));
    maintaining.abort();
}

#[test]
fn install_twice() {
    let first = meter::install();
    metrics::counter!("lentilshunt_installs_total").increment(1);
    for handle in [first, meter::install()] {
        assert!(handle.render().contains("lentilshunt_installs_total 1"));
    }
}
