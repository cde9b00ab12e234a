//! Ready fleet with its operator, and resource measurements.

mod error;
mod ready;
mod steal_time;
mod usage;

pub use error::Error;
pub use ready::Testbed;
pub use steal_time::StealTime;
pub use usage::Usage;
