//! Tests of the decisions of a relaying node under load.

mod attempts;
mod origin;
mod rate_limit;
mod refusal;
mod run_times;
mod timeouts;
mod waiting;

use std::time::Duration;

use lentilshunt_core::overload::Kind;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Idempotent requests of low rank.
const LOOKUP: Kind = Kind {
    rank: 2,
    idempotent: true,
};
/// Requests of higher rank that run once at most.
const ORDER: Kind = Kind {
    rank: 1,
    idempotent: false,
};
