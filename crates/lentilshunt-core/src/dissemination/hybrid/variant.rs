//! Variants of the strategy, for comparison.

/// How far a failure domain extends for the strategy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scope {
    /// Membership and pushes stay in the failure domain; relays join the domains.
    Domain,
    /// The whole fleet is treated as one failure domain without relays.
    Fleet,
}

/// How a change travels within the scope.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Travel {
    /// Along a tree with the node that learnt the change at its root.
    Tree,
    /// From each node to a few random ones, for a number of rounds.
    Gossip,
}

/// One way to bring changes to every node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Variant {
    pub(super) scope: Scope,
    pub(super) travel: Travel,
}

impl Variant {
    /// A tree in each failure domain, and relays between the domains.
    pub const HYBRID: Self = Self {
        scope: Scope::Domain,
        travel: Travel::Tree,
    };

    /// One tree over the whole fleet.
    pub const TREE: Self = Self {
        scope: Scope::Fleet,
        travel: Travel::Tree,
    };

    /// Gossip over the whole fleet.
    pub const EPIDEMIC: Self = Self {
        scope: Scope::Fleet,
        travel: Travel::Gossip,
    };
}
