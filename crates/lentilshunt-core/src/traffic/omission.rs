//! Routes of a version that this node cannot apply.

/// A route that a version contains but that is not in force.
///
/// Requests that belong to it are refused; they are not handled by another route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Omission {
    /// Host of the route; `None` if it cannot be read.
    pub host: Option<String>,
    /// Path prefix of the route; `None` if it cannot be read.
    pub prefix: Option<String>,
    /// Why the route cannot be applied.
    pub problem: String,
}
