//! Meets other nodes and takes the traffic rules through a store of rows.
//!
//! | module | does |
//! |---|---|
//! | [`TableStore`] | the border to the store |
//! | [`Codec`] | the border to the formats of a deployment |
//! | [`run`] | starts the parts of a relaying node, and stops them gracefully |

mod codec;
mod domain;
mod installer;
mod lifecycle;
mod metrics;
mod node_registry;
mod node_settings;
mod node_state;
mod publisher;
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
pub use node_registry::NodeRegistry;
pub use node_settings::{ListenAddresses, NodeSettings};
pub use node_state::NodeState;
pub use publisher::Publisher;
pub use readiness::Readiness;
pub use registration::Registration;
pub use report::Reports;
pub use state_fetcher::StateFetcher;
pub use table_store::{Change, Changes, Error, Row, TableSnapshot, TableStore};
pub use watch::{Subscription, TableUpdate, watch_table};
