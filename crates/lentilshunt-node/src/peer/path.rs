//! Paths and headers of requests between the processes of lentilshunt.

/// Path to which an upstream announces itself.
pub const ANNOUNCE: &str = "/.lentilshunt/announce";
/// Prefix of the paths of calls between nodes; the caller's path follows.
pub const CALL: &str = "/.lentilshunt/call";
/// Path to which nodes send control messages.
pub const CONTROL: &str = "/.lentilshunt/control";
/// Path at which a node requests the resolution of a request.
pub const RESOLVE: &str = "/.lentilshunt/resolve";
/// Response header with the resolution of a request.
pub const RESOLUTION: &str = "lentilshunt-resolution";
