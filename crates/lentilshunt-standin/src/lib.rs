//! Stand-ins for the platform and for upstreams, for demos and tests.

pub mod link;
pub mod platform;
pub mod upstream;
