//! The operators' command.
//!
//! | module | does |
//! |---|---|
//! | [`accept`] | puts a configuration into the platform and makes it the head |
//! | [`command`] | the command line and its commands |

pub mod accept;
pub mod command;
