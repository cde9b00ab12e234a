//! Decisions of lentilshunt, without I/O.
//!
//! Every decision of the product is made here: which configuration is valid,
//! which version is in force, which endpoints exist, where a call goes, and
//! whether it may be tried again. Nothing in this crate opens a socket, starts
//! a task, reads a clock or draws a global random number. The owner passes in
//! events with the current [`Instant`](std::time::Instant) and a seeded
//! generator, and carries out the actions that come back.
//!
//! | module | decides |
//! |---|---|
//! | [`config`] | what an accepted configuration contains and whether it is valid |
//! | [`membership`] | which nodes and upstreams exist, and in which phase |
//! | [`dissemination`] | how versions and records reach every node |
//! | [`routing`] | which endpoints a call may go to |
//! | [`retry`] | whether a call may be tried again |
//! | [`quarantine`] | which requests crash upstreams, and where they may still run |
//! | [`admission`] | which requests an upstream takes, and in which order |
//! | [`execution`] | what became of each request on the executing node |
//! | [`claim`] | whether a repeated non-idempotent request has run already |
//! | [`traffic`] | which service answers a request, and within which limits |
//! | [`verdict`] | whether a request may have run, and why it was refused |

pub mod admission;
pub mod claim;
pub mod config;
pub mod dissemination;
pub mod execution;
pub mod id;
pub mod membership;
pub mod quarantine;
pub mod retry;
pub mod routing;
pub mod traffic;
pub mod verdict;
