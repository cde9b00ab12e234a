//! Stand-in for the platform: a transactional table and an object store with faults.

mod capacity;
mod handler;
mod table;

pub use capacity::Capacity;
pub use handler::Platform;
pub use table::Rows;
