//! The operators' command of lentilshunt.
//!
//! | module | purpose |
//! |---|---|
//! | [`accept`] | stores a configuration on the platform and makes it the head |
//! | [`command`] | the command line parser and the commands |
//! | [`fleet`] | queries nodes for their version in force |
//! | [`version`] | reads accepted versions from the platform |

pub mod accept;
pub mod command;
pub mod fleet;
pub mod version;
