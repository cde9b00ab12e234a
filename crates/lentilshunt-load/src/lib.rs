//! Load and experiments against a fleet of processes on one machine.
//!
//! | module | does |
//! |---|---|
//! | [`fleet`] | lays out and starts the processes of a fleet |
//! | [`caller`] | sends calls at a rate and records them |
//! | [`chaos`] | runs a fleet under seeded disturbances |
//! | [`operator`] | accepts versions and records it |
//! | [`check`] | judges the history of a run |
//! | [`report`] | what a run measured, as text and JSON |
//! | [`testbed`] | starts a fleet and waits until it is ready |

pub mod caller;
pub mod chaos;
pub mod check;
pub mod fleet;
pub mod operator;
pub mod report;
pub mod testbed;
