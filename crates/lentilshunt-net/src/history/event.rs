//! Creation of history events.

use std::time::{SystemTime, UNIX_EPOCH};

use lentilshunt_schema::history::{Event, Kind};

/// Returns the current time in microseconds since the Unix epoch.
#[must_use]
pub fn now_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Creates an event at the current time without details.
///
/// [`Writer::write`](super::Writer::write) sets its process and incarnation.
#[must_use]
pub fn new_event(kind: Kind) -> Event {
    Event {
        at_us: now_us(),
        process: String::new(),
        kind,
        incarnation: None,
        request: None,
        key: None,
        service: None,
        instance: None,
        idempotent: None,
        version: None,
        digest: None,
        verdict: None,
        status: None,
        detail: None,
        expected: None,
        attempt: None,
        base: None,
        routes: None,
    }
}
