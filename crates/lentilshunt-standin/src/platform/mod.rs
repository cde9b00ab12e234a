//! Stand-in for the platform: a transactional table and an object store, with fault injection.

mod capacity;
mod handler;
mod table;

pub use capacity::RateLimit;
pub use handler::Platform;
pub use table::Rows;
