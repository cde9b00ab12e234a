//! Meets other nodes and takes the traffic rules through a store of rows.
//!
//! | module | does |
//! |---|---|
//! | [`Rows`] | the border to the store |
//! | [`Translator`] | the border to the formats of a deployment |
//! | [`run`] | starts the parts of a relaying node, and stops them gracefully |

mod directory;
mod domain;
mod follow;
mod health;
mod metrics;
mod neighbour;
mod presence;
mod publisher;
mod report;
mod rows;
mod rules;
mod shell;
mod site;
mod state;
mod translator;

pub use directory::Book;
pub use domain::{Answer, Cache, Difference, Feeds, History, Patch, Relayed};
pub use follow::{News, Subject, follow};
pub use health::Health;
pub use neighbour::Neighbour;
pub use presence::Presence;
pub use publisher::Publisher;
pub use report::Reports;
pub use rows::{Change, Changes, Error, Page, Row, Rows};
pub use rules::Installer;
pub use shell::run;
pub use site::{Listen, Site};
pub use state::State;
pub use translator::{Translator, Unreadable};
