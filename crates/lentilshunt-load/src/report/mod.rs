//! Results of a run, as text and JSON.

mod percentile;
mod scrape;
mod summary;

pub use percentile::Percentiles;
pub use summary::{Calls, ControlBytes, Report, Versions};
