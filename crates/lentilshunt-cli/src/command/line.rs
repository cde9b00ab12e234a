//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use lentilshunt_core::id::{OperationId, VersionId};

use super::access::{Access, access};

/// Checks, accepts and shows configurations of lentilshunt.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options("lentilshunt"), version, generate(line), footer(EXIT_CODES))]
pub enum Command {
    /// Checks files without the platform
    #[bpaf(
        command,
        header("Example: lentilshunt check inventory.ini rules.ini"),
        footer(EXIT_CODES)
    )]
    Check {
        /// Prints JSON
        json: bool,
        /// Inventory and rules
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Shows what changes from one version to another or to files
    #[bpaf(
        command,
        header(
            "Examples: lentilshunt diff inventory.ini rules.ini, lentilshunt diff --from 3 --to 5"
        ),
        footer(EXIT_CODES)
    )]
    Diff {
        /// How the platform is reached
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Older version; without it, the version in force
        #[bpaf(argument("VERSION"))]
        from: Option<VersionId>,
        /// Newer version, in place of files
        #[bpaf(argument("VERSION"))]
        to: Option<VersionId>,
        /// Inventory and rules
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Accepts files as the version after the base
    #[bpaf(
        command,
        header("Example: lentilshunt accept --base 4 inventory.ini rules.ini"),
        footer(EXIT_CODES)
    )]
    Accept {
        /// How the platform is reached
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Version that the change is based on; 0 for the first
        #[bpaf(argument("VERSION"))]
        base: VersionId,
        /// Id of an earlier attempt that was not settled
        #[bpaf(argument("ID"))]
        operation: Option<OperationId>,
        /// Inventory and rules
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Accepts the content of an older version as the version after the base
    #[bpaf(
        command,
        header("Example: lentilshunt rollback --base 5 3"),
        footer(EXIT_CODES)
    )]
    Rollback {
        /// How the platform is reached
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Version in force that is to be replaced
        #[bpaf(argument("VERSION"))]
        base: VersionId,
        /// Id of an earlier attempt that was not settled
        #[bpaf(argument("ID"))]
        operation: Option<OperationId>,
        /// Older version whose content is to be in force again
        #[bpaf(positional("VERSION"))]
        version: VersionId,
    },
    /// Lists the accepted versions
    #[bpaf(
        command,
        header("Example: lentilshunt history --platform 10.0.0.1:7100"),
        footer(EXIT_CODES)
    )]
    History {
        /// How the platform is reached
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
    },
    /// Prints a version as an inventory with rules
    #[bpaf(
        command,
        header("Example: lentilshunt show 3 > mesh.ini"),
        footer(EXIT_CODES)
    )]
    Show {
        /// How the platform is reached
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Version; without it, the version in force
        #[bpaf(positional("VERSION"))]
        version: Option<VersionId>,
    },
    /// Shows which version every node has in force
    #[bpaf(
        command,
        header("Example: lentilshunt status --node 10.0.1.1:7001"),
        footer(EXIT_CODES)
    )]
    Status {
        /// How the platform is reached
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Address for peers or operators of a node to ask first
        #[bpaf(long("node"), argument("ADDRESS"))]
        nodes: Vec<SocketAddr>,
    },
    /// Shows the routes of one node
    #[bpaf(
        command,
        header("Example: lentilshunt routes 10.0.1.1:7001"),
        footer(EXIT_CODES)
    )]
    Routes {
        /// Prints JSON
        json: bool,
        /// Address of the node for peers or operators
        #[bpaf(positional("NODE"))]
        node: SocketAddr,
    },
}

/// Table of the exit codes in the help.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 wrong command line, 2 invalid files or settings, \
    3 platform or node not available and nothing accepted, 4 conflict and nothing accepted, \
    5 not known whether accepted, 6 a node lags or cannot be reached, \
    7 version unknown or its content broken";

impl Command {
    /// Returns whether the command is to print JSON.
    #[must_use]
    pub fn json(&self) -> bool {
        match self {
            Self::Check { json, .. }
            | Self::Diff { json, .. }
            | Self::Accept { json, .. }
            | Self::Rollback { json, .. }
            | Self::History { json, .. }
            | Self::Show { json, .. }
            | Self::Status { json, .. }
            | Self::Routes { json, .. } => *json,
        }
    }
}
