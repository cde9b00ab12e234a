//! The node: routes the calls of callers and guards the upstream beside it.
//!
//! | module | does |
//! |---|---|
//! | [`lifecycle`] | starts the parts, and stops them gracefully |
//! | [`control`] | feeds the dissemination strategy and publishes its route tables |
//! | [`entry`] | takes calls of callers and sends attempts to executing nodes |
//! | [`executor`] | executes attempts on the own upstream |
//! | [`peer`] | takes messages of other nodes and of the own upstream |
//! | [`admin`] | serves metrics and status |
//! | [`relay`] | relays requests by traffic rules, with streamed bodies |
//! | [`fleet`] | meets other nodes and takes the traffic rules through a store of rows |
//! | [`context`] | what all parts share |

pub mod admin;
pub mod context;
pub mod control;
pub mod entry;
pub mod executor;
pub mod fleet;
pub mod lifecycle;
pub mod peer;
pub mod relay;
