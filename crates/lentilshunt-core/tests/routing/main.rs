//! Tests for load balancing policies and endpoint observations.

mod fixture;
mod observation;
mod policy;
