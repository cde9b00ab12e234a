//! Tests of the executor of a node and its claims.

mod claims;
mod drain;
mod fixture;
mod history;
mod local;
mod metrics;
mod pooled;
