//! Choice of endpoints.

mod fixture;
mod local;
mod observation;
