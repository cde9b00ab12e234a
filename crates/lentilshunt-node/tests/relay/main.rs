//! Tests of the relay with nodes in one process and scripted upstreams.

mod abandoned;
mod call;
mod cut;
mod cut_upstream;
mod fetch;
mod fixture;
mod hostile;
mod leaving;
mod long_body;
mod malformed;
mod numbers;
mod organisation;
mod pipelined;
mod quarantine;
mod rate_limit;
mod raw_upstream;
mod repeated_refusal;
mod reports;
mod restart;
mod route_timeout;
mod server;
mod upstream;
