//! The hybrid strategy: membership in each failure domain, relays between the
//! domains, and watchers of the platform.
//!
//! Each node assigns roles by rendezvous hashing over its own view. Every
//! action of a role is idempotent, so two nodes that hold the same role at a
//! time only cost an extra message.
//!
//! | module | does |
//! |---|---|
//! | `probe` | detects failed nodes of the scope, and gone ones that are back |
//! | `push` | pushes changes through the scope |
//! | `exchange` | exchanges changes with other failure domains and regions |
//! | `relay` | chooses the nodes that hold these exchanges |
//! | `reachability` | stores which failure domains reach each other |
//! | `sync` | compares whole views and exchanges missing entries |
//! | `watch` | reads the newest head, and addresses of other nodes, from the platform |
//! | `startup` | delays the first version until a newer one is ruled out |
//! | `pull` | fetches newer versions from the nearest holder |

mod core;
mod exchange;
mod links;
mod probe;
mod pull;
mod push;
mod reachability;
mod receive;
mod relay;
mod startup;
mod sync;
mod variant;
mod watch;

pub use self::core::Hybrid;
pub use variant::Variant;
pub use watch::RENDEZVOUS_PREFIX;
