//! Tests of the executor and its claims.

mod claims;
mod drain;
mod fixture;
mod history;
mod http_transport;
mod local_executor;
mod metrics;
