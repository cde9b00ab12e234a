//! The node: routes the calls of callers and limits the load on the local upstream.
//!
//! | module | purpose |
//! |---|---|
//! | [`lifecycle`] | starts the components and shuts them down gracefully |
//! | [`control`] | drives the dissemination strategy and publishes its route tables |
//! | [`entry`] | accepts calls of callers and sends attempts to executing nodes |
//! | [`executor`] | executes attempts on the local upstream |
//! | [`peer`] | receives messages of other nodes and of the local upstream |
//! | [`admin`] | serves metrics and status |
//! | [`relay`] | relays requests by traffic rules, with streamed bodies |
//! | [`fleet`] | discovers other nodes and receives the traffic rules through a table store |
//! | [`context`] | state shared by all components |

pub mod admin;
pub mod context;
pub mod control;
pub mod entry;
pub mod executor;
pub mod fleet;
pub mod lifecycle;
pub mod peer;
pub mod relay;
