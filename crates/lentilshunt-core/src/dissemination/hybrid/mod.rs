//! The hybrid strategy: membership in each failure domain, relays between the
//! domains, and watchers of the platform.
//!
//! Each node assigns roles by rendezvous hashing over its own member list. Every
//! action of a role is idempotent, so two nodes that hold the same role at a
//! time only cost an extra message.
//!
//! A relay is the node of a failure domain that exchanges changes with another
//! domain or region. A gateway is the domain of a region that exchanges changes
//! with another region. The scope of probes and pushes is the local failure
//! domain or, in some variants, the whole fleet.
//!
//! | module | does |
//! |---|---|
//! | `core` | holds the state and dispatches the events |
//! | `variant` | defines the variants of the strategy |
//! | `receive` | dispatches messages from other nodes, and undelivered ones |
//! | `probe` | detects failed nodes of the scope, and detects when gone nodes return |
//! | `push` | pushes changes through the scope |
//! | `exchange` | exchanges changes with other failure domains and regions |
//! | `links` | holds the state of these exchanges |
//! | `relay` | chooses the nodes that perform these exchanges |
//! | `reachability` | stores which failure domains stated that they reach each other |
//! | `sync` | compares whole member lists and exchanges the entries that differ |
//! | `watch` | exchanges the head and records of domains with the platform |
//! | `startup` | delays the first installation until versions were reported |
//! | `pull` | fetches newer versions from other nodes or the platform |

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
