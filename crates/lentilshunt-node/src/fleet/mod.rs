//! Meets other nodes and takes the traffic rules through a store of rows.
//!
//! | module | does |
//! |---|---|
//! | [`Rows`] | the border to the store |
//! | [`Translator`] | the border to the formats of a deployment |
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

pub use codec::{Translator, Unreadable};
pub use domain::{Answer, Cache, Difference, Feeds, History, Patch, Relayed};
pub use installer::Installer;
pub use lifecycle::run;
pub use node_registry::Book;
pub use node_settings::{Listen, Site};
pub use node_state::State;
pub use publisher::Publisher;
pub use readiness::Health;
pub use registration::Presence;
pub use report::Reports;
pub use state_fetcher::Neighbour;
pub use table_store::{Change, Changes, Error, Page, Row, Rows};
pub use watch::{News, Subject, follow};
