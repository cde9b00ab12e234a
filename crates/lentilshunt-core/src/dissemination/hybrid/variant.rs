//! Variants of the hybrid strategy, for comparison.

/// Nodes among which membership is probed and changes are pushed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scope {
    /// The local failure domain; relays connect the domains.
    Domain,
    /// The whole fleet, treated as one failure domain without relays.
    Fleet,
}

/// How a change is propagated within the scope.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Propagation {
    /// Along a tree whose root is the node that first received the change.
    Tree,
    /// From each node to a few random ones, for a number of rounds that grows with the scope.
    Gossip,
}

/// A variant of the hybrid strategy: its scope, and the propagation within it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Variant {
    pub(super) scope: Scope,
    pub(super) propagation: Propagation,
}

impl Variant {
    /// A tree in each failure domain, and relays between the domains.
    pub const HYBRID: Self = Self {
        scope: Scope::Domain,
        propagation: Propagation::Tree,
    };

    /// One tree over the whole fleet.
    pub const TREE: Self = Self {
        scope: Scope::Fleet,
        propagation: Propagation::Tree,
    };

    /// Gossip over the whole fleet.
    pub const EPIDEMIC: Self = Self {
        scope: Scope::Fleet,
        propagation: Propagation::Gossip,
    };
}
