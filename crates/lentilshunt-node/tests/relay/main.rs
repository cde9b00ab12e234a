//! Tests of the relay with nodes in one process and scripted upstreams.

mod call;
mod fetch;
mod fixture;
mod upstream;
