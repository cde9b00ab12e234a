//! Choice of endpoints.

mod fixture;
mod observation;
mod policy;
