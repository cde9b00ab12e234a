//! Decisions of a relaying node under load.
//!
//! They take the current instant and random numbers as arguments and do no I/O, so that a test
//! can replay a load pattern against them.
//!
//! | decision | type | load pattern |
//! |---|---|---|
//! | which request runs, waits or is refused at the upstream | [`Waiting`] | bursts, slow upstreams, empty upstreams after a restart |
//! | how many requests an upstream with a rate limit gets | [`RateLimit`] | upstreams in need, restarts of their nodes |
//! | how long a run is expected to take | [`RunTimes`] | upstreams that become slow while requests run |
//! | whether a caller repeats a request | [`Timeouts`] | impatient callers, callers with unequal timeouts |
//! | whether a request is a call of the local upstream | [`Origin`] | services that call each other |
//! | whether a call is attempted again, and how | [`Attempts`] | grey upstreams, impatient callers, lost nodes |
//! | when a refused caller may come back | [`Refusal`] | bursts, returns of many callers at once |
//! | which endpoint runs an attempt | [`routing`](crate::routing) | shifts, unequal upstreams, new upstreams |

mod applicant;
mod attempts;
mod notice;
mod origin;
mod patience;
mod rate;
mod rate_limit;
mod refusal;
mod run_times;
mod timeouts;
mod waiting;

pub use applicant::{Applicant, Kind};
pub use attempts::{Attempts, Limits, Outcome, Step};
pub use notice::{Notice, Notices};
pub use origin::Origin;
pub use patience::Patience;
pub use rate::{ParseError, Rate};
pub use rate_limit::RateLimit;
pub use refusal::Refusal;
pub use run_times::RunTimes;
pub use timeouts::Timeouts;
pub use waiting::{Admission, Next, Waiting};
