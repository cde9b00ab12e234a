//! Stand-ins for the platform, upstreams and network links, for demos and tests.

pub mod link;
pub mod platform;
pub mod upstream;
