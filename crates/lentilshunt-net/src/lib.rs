//! Networking of lentilshunt: HTTP servers, connection pools, the platform client.
//!
//! | module | provides |
//! |---|---|
//! | [`http`] | a server with graceful shutdown and a pool of client connections |
//! | [`platform`] | clients of the table service and the object store, behind traits |
//! | [`call`] | calls, their attempts and replies, and their encoding between nodes |
//! | [`history`] | events, which checkers verify after a test run |
//! | [`log`] | structured logging |
//! | [`meter`] | metrics, rendered as text |
//! | [`start`] | command line, settings and stop signals of a program |

pub mod call;
pub mod history;
pub mod http;
pub mod log;
pub mod meter;
pub mod platform;
pub mod start;

use std::pin::Pin;

/// A boxed future, as returned by the methods of object-safe traits.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
