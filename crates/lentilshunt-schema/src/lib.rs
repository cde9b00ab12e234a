//! Messages, settings and events of lentilshunt.
//!
//! The types of [`platform`], [`peer`], [`call`], [`history`], [`operate`]
//! and [`settings`]
//! are generated from the JSON Schema files in the `schema` folder by
//! `cargo xtask generate` and committed, so that the build needs no generator.
//!
//! ```
//! use lentilshunt_schema::call::Resolution;
//!
//! assert_eq!(Resolution::MayHaveRun.to_string(), "may_have_run");
//! ```

mod generated;
pub mod ini;

pub use generated::{call, history, operate, peer, platform, settings};
