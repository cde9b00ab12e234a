//! The operators' command.
//!
//! | module | does |
//! |---|---|
//! | [`accept`] | puts a configuration into the platform and makes it the head |
//! | [`command`] | the command line and its commands |
//! | [`fleet`] | asks nodes which version they have in force |
//! | [`version`] | reads accepted versions from the platform |

pub mod accept;
pub mod command;
pub mod fleet;
pub mod version;
