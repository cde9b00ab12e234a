//! Paths and headers between the processes of lentilshunt.

/// Path to which an upstream announces itself.
pub const ANNOUNCE: &str = "/.lentilshunt/announce";
/// Start of the paths of calls between nodes; the caller's path follows.
pub const CALL: &str = "/.lentilshunt/call";
/// Path to which nodes send control messages.
pub const CONTROL: &str = "/.lentilshunt/control";
/// Path at which a node asks what became of a request.
pub const RESOLVE: &str = "/.lentilshunt/resolve";
/// Header that carries the answer to a resolution.
pub const RESOLUTION: &str = "lentilshunt-resolution";
