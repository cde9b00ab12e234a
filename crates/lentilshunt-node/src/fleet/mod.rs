//! Discovers other nodes and receives the traffic rules through a table store.
//!
//! It runs relaying nodes, which stream HTTP requests; [`crate::lifecycle`] runs the
//! nodes that buffer them.
//!
//! | item | purpose |
//! |---|---|
//! | [`TableStore`] | interface to the store |
//! | [`Codec`] | interface to the formats of a deployment |
//! | [`run`] | starts the components of a relaying node and shuts them down gracefully |

mod adoption;
mod codec;
pub mod departure;
mod domain;
mod installer;
mod lifecycle;
mod metrics;
mod node_registry;
mod node_settings;
mod node_state;
mod orders;
mod publisher;
pub mod quarantine;
mod readiness;
mod registration;
mod report;
mod state_fetcher;
mod table_store;
mod watch;

pub use codec::{Codec, DecodeError};
pub use domain::{Cache, DomainStore, FeedResponse, Feeds, Patch, RowPatch, ValueHistory};
pub use installer::Installer;
pub use lifecycle::run;
pub use node_registry::{Listing, NodeRegistry, Restoration};
pub use node_settings::{ListenAddresses, NodeSettings};
pub use node_state::NodeState;
pub use orders::Orders;
pub use publisher::Publisher;
pub use readiness::Readiness;
pub use registration::Registration;
pub use report::Reports;
pub use state_fetcher::StateFetcher;
pub use table_store::{
    Change, Changes, Error, RestoredSnafu, Row, RowAt, TableSnapshot, TableStore,
};
pub use watch::{Subscription, TableUpdate, watch_table};
