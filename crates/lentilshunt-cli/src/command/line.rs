//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Checks, accepts and shows configurations of lentilshunt.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options("lentilshunt"), version, generate(line))]
pub enum Command {
    /// Checks files without the platform
    #[bpaf(command)]
    Check {
        /// Inventory and rules
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Accepts files as the version after the base
    #[bpaf(command)]
    Accept {
        /// Address of the platform
        platform: SocketAddr,
        /// Version that the change is based on; 0 for the first
        base: u64,
        /// Inventory and rules
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Lists the accepted versions
    #[bpaf(command)]
    History {
        /// Address of the platform
        platform: SocketAddr,
    },
}
