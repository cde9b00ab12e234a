//! Tests of the relay: nodes in one process, with scripted upstreams.

mod fixture;
mod head;
mod path;
mod upstream;
