//! The node: routes the requests of callers and limits the load on the local upstream.
//!
//! There are two kinds of nodes. The binary `lentilshunt-node` buffers the bodies of
//! requests and disseminates configuration between nodes:
//!
//! | module | purpose |
//! |---|---|
//! | [`lifecycle`] | starts the components and shuts them down gracefully |
//! | [`control`] | drives the dissemination strategy and publishes its route tables |
//! | [`entry`] | accepts calls of callers and sends attempts to executing nodes |
//! | [`executor`] | executes attempts on the local upstream |
//! | [`peer`] | receives messages of other nodes and of the local upstream |
//! | [`admin`] | serves metrics and status |
//! | [`context`] | state shared by all components |
//!
//! The binary `lentilshunt-sidecar` is a relaying node, which streams the bodies:
//!
//! | module | purpose |
//! |---|---|
//! | [`relay`] | relays requests by traffic rules, with streamed bodies |
//! | [`coordination`] | sends reports to the node that decides for the fleet |
//! | [`quota`] | binds the quotas of organisations over all nodes |
//! | [`rollout`] | brings in new versions of services |
//! | [`fleet`] | discovers other nodes and receives the traffic rules through a table store |

pub mod admin;
pub mod context;
pub mod control;
pub mod coordination;
pub mod entry;
pub mod executor;
pub mod fleet;
pub mod lifecycle;
pub mod peer;
pub mod quota;
pub mod relay;
pub mod rollout;
