//! Relays requests of callers to upstreams, with bodies that pass piece by piece.
//!
//! | module | does |
//! |---|---|
//! | [`Entry`] | takes requests of callers and matches them with the traffic rules |
//! | [`Dispatcher`] | sends the attempts of a call, here or on other nodes |
//! | [`Inbound`] | takes calls of other nodes |
//! | [`Executor`] | runs calls on the upstream beside the node, and refuses the rest |
//! | [`Pool`], [`Server`] | connections on which bodies are never held whole |

pub mod body;
mod call;
pub mod clock;
mod dialect;
mod dispatcher;
mod entry;
mod executor;
pub mod fetch;
mod guarded;
mod head;
pub mod header;
mod herald;
mod inbound;
mod journal;
mod patience;
mod pool;
mod reply;
mod server;
mod shared;
pub mod upstream;

pub use call::Call;
pub use dialect::Dialect;
pub use dispatcher::{Dispatcher, Progress};
pub use entry::Entry;
pub use executor::Executor;
pub use herald::Herald;
pub use inbound::Inbound;
pub use journal::Journal;
pub use patience::Patience;
pub use pool::{Failure, Pool};
pub use reply::Reply;
pub use server::{Allowance, Client, Handler, Server};
pub use shared::{Directory, Newest, Shared};
