//! Tests of the relay: nodes in one process, with scripted upstreams.

mod fetch;
mod fixture;
mod path;
mod upstream;
