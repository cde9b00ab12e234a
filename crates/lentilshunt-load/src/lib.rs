//! Load and experiments against a fleet of processes on one machine.
//!
//! | module | does |
//! |---|---|
//! | [`fleet`] | lays out and starts the processes of a fleet |
//! | [`caller`] | sends calls at a rate and records them |
//! | [`check`] | judges the history of a run |
//! | [`report`] | what a run measured, as text and JSON |

pub mod caller;
pub mod check;
pub mod fleet;
pub mod report;
