//! The command line parser.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use lentilshunt_core::id::{OperationId, VersionId};

use super::access::{Access, access};

/// Checks, accepts and shows configurations of lentilshunt
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options("lentilshunt"), version, generate(parser), footer(EXIT_CODES))]
pub enum Command {
    /// Checks files without accessing the platform
    #[bpaf(
        command,
        header("Example: lentilshunt check inventory.ini rules.ini"),
        footer(EXIT_CODES)
    )]
    Check {
        /// Prints JSON
        json: bool,
        /// Inventory and rules files
        #[bpaf(positional("FILE"), some("specify at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Shows the difference between two versions, or between a version and files
    #[bpaf(
        command,
        header(
            "Examples: lentilshunt diff inventory.ini rules.ini, lentilshunt diff --from 3 --to 5"
        ),
        footer(EXIT_CODES)
    )]
    Diff {
        /// Access to the platform
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Version to compare from; by default the version in force
        #[bpaf(argument("VERSION"))]
        from: Option<VersionId>,
        /// Version to compare to, instead of files
        #[bpaf(argument("VERSION"))]
        to: Option<VersionId>,
        /// Inventory and rules files
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
        /// Access to the platform
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Version that the change is based on; 0 for the first
        #[bpaf(argument("VERSION"))]
        base: VersionId,
        /// Operation id of an earlier attempt whose outcome is unknown
        #[bpaf(argument("ID"))]
        operation: Option<OperationId>,
        /// Inventory and rules files
        #[bpaf(positional("FILE"), some("specify at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Accepts the content of an older version as the version after the base
    #[bpaf(
        command,
        header("Example: lentilshunt rollback --base 5 3"),
        footer(EXIT_CODES)
    )]
    Rollback {
        /// Access to the platform
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Version in force that is replaced
        #[bpaf(argument("VERSION"))]
        base: VersionId,
        /// Operation id of an earlier attempt whose outcome is unknown
        #[bpaf(argument("ID"))]
        operation: Option<OperationId>,
        /// Older version whose content is accepted again
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
        /// Access to the platform
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
        /// Access to the platform
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Version to print; by default the version in force
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
        /// Access to the platform
        #[bpaf(external(access))]
        access: Access,
        /// Prints JSON
        json: bool,
        /// Peer or operator address of a node to query first
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
        /// Peer or operator address of the node
        #[bpaf(positional("NODE"))]
        node: SocketAddr,
    },
}

/// Description of the exit codes in the help.
const EXIT_CODES: &str = "Exit codes: 0 success, 1 invalid command line, \
    2 invalid files or settings, 3 platform or node not available and nothing accepted, \
    4 conflict and nothing accepted, 5 unknown whether accepted, 6 a node lags behind or is unreachable, \
    7 version does not exist or its content is unreadable";

impl Command {
    /// Returns whether the command prints JSON.
    #[must_use]
    pub fn is_json(&self) -> bool {
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
