//! Sockets of lentilshunt: HTTP servers, connection pools, the platform client.
//!
//! | module | gives |
//! |---|---|
//! | [`http`] | a server with a graceful stop and a pool of client connections |
//! | [`platform`] | the table service and the object store behind trait objects |
//! | [`call`] | a caller's request and its reply, and how they travel between nodes |
//! | [`history`] | events for the checkers of test runs |
//! | [`log`] | structured logs |
//! | [`meter`] | metrics rendered as text |
//! | [`start`] | command line, settings and signals of a program |

pub mod call;
pub mod history;
pub mod http;
pub mod log;
pub mod meter;
pub mod platform;
pub mod start;

use std::pin::Pin;

/// A boxed future, as the methods of trait objects return it.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
