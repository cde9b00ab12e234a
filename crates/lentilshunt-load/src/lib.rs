//! Load generation and fault injection for a fleet of processes on one machine.
//!
//! | module | purpose |
//! |---|---|
//! | [`fleet`] | assigns addresses to the processes of a fleet and starts them |
//! | [`caller`] | sends calls at a fixed rate and records them |
//! | [`chaos`] | runs a fleet under a seeded schedule of disruptions |
//! | [`operator`] | accepts configuration versions and records the outcomes |
//! | [`check`] | checks the history of a run against the invariants |
//! | [`report`] | results of a run as text and JSON |
//! | [`testbed`] | starts a fleet and waits until it is ready |

pub mod caller;
pub mod chaos;
pub mod check;
pub mod fleet;
pub mod operator;
pub mod report;
pub mod testbed;
