//! Claims that keep a repeated non-idempotent request from running twice.
