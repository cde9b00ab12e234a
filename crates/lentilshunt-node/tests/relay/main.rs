//! Tests of the relay: nodes in one process, with scripted upstreams.

mod call;
mod fetch;
mod fixture;
mod upstream;
