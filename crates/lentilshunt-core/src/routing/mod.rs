//! Where a call may go.

mod nearest;
mod place;
mod policy;
mod route;
mod table;

pub use nearest::Nearest;
pub use place::Place;
pub use policy::Policy;
pub use route::Route;
pub use table::Table;
