//! Decision logic of lentilshunt, without I/O.
//!
//! This crate decides which configuration is valid, which version is in force,
//! which endpoints exist, where a call is routed and whether it is retried.
//! Nothing in it opens a socket, spawns a task, reads a clock or uses a global
//! random number generator. A driver passes in events with the current
//! [`Instant`](std::time::Instant) and a seeded generator, and carries out the
//! actions that are returned.
//!
//! | module | purpose |
//! |---|---|
//! | [`config`] | content, encoding and validation of an accepted configuration |
//! | [`leaving`] | upstream processes that have said that they leave |
//! | [`membership`] | nodes and upstreams of the fleet and their phases |
//! | [`dissemination`] | distribution of versions and records to every node |
//! | [`routing`] | choice of the endpoint of each attempt |
//! | [`retry`] | retry decisions and retry budgets |
//! | [`quarantine`] | detection and isolation of requests that crash upstreams |
//! | [`admission`] | concurrency limit and request queue of an upstream |
//! | [`overload`] | what waits, is refused and is attempted again under load |
//! | [`organisation`] | organisations, their keys and their quotas |
//! | [`quota`] | requests that organisations may send to all nodes together |
//! | [`rollout`] | trial of a new version of a service |
//! | [`execution`] | state of each non-idempotent request on the executing node |
//! | [`claim`] | deduplication of repeated non-idempotent requests by idempotency key |
//! | [`traffic`] | matching of requests to services, and limits of callers |
//! | [`encoding`] | decoding of rows of the store and of messages of other nodes |
//! | [`id`] | type aliases for identifiers |
//! | [`verdict`] | whether a request may have run, and why it failed or was refused |

pub mod admission;
pub mod claim;
pub mod config;
pub mod dissemination;
pub mod encoding;
pub mod execution;
pub mod id;
pub mod leaving;
pub mod membership;
pub mod organisation;
pub mod overload;
pub mod quarantine;
pub mod quota;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod traffic;
pub mod verdict;
