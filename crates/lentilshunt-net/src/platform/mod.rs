//! The platform's table service and object store.

mod client;
mod error;
mod store;
mod table;

pub use client::Client;
pub use error::Error;
pub use store::Store;
pub use table::Table;
