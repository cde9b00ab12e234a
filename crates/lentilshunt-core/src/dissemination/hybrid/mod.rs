//! Membership in each failure domain, relays between them, and watchers of the platform.
//!
//! Every role is chosen by rendezvous hashing over the own view. All that a
//! role does is idempotent, so two nodes that both believe themselves to hold
//! it cost a message and no more.
//!
//! | part | does |
//! |---|---|
//! | `probe` | finds dead nodes of the own failure domain, and gone ones that are back |
//! | `push` | pushes changes through the own failure domain |
//! | `exchange` | exchanges changes with other failure domains and regions |
//! | `relay` | chooses the nodes that hold these exchanges |
//! | `reachability` | holds which failure domains reach each other |
//! | `sync` | compares whole views and closes gaps |
//! | `watch` | reads the platform's newest head, and addresses of other nodes |
//! | `startup` | holds back the first version until a newer one is ruled out |
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
