//! Helpers for the tests.

pub mod platform;
