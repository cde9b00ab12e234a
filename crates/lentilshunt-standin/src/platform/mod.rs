//! Stand-in for the platform: a transactional table and an object store, with fault injection.

mod handler;
mod rate_limit;
mod table;

pub use handler::Platform;
pub use rate_limit::RateLimit;
pub use table::Rows;
