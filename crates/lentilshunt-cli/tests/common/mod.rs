//! A platform process, the operators' command, and the check of their history.

pub mod history;
pub mod platform;
