//! Quarantined requests in the store.
//!
//! A node forgets the quarantined requests when it restarts, and other nodes do so too if they
//! restart at the same time. Each quarantined request therefore has a row in the table of nodes,
//! which every node reads when it starts and watches afterwards.

mod archive;
mod row;

pub use archive::Archive;
