//! HTTP server and client connection pool.

mod connections;
mod error;
mod exchange;
mod handler;
mod pool;
mod server;
mod shutdown;
mod silence;

pub use error::Error;
pub use exchange::Exchange;
pub use handler::{Handler, empty_response, full_response};
pub use pool::Pool;
pub use server::Server;
pub use shutdown::Shutdown;
