//! Requests that crash upstreams, and where they may still run.
