//! Platform process, runs of the operators' command, and a history checker.

pub mod history;
pub mod platform;
