//! Strategies of dissemination that are compared.

use lentilshunt_core::dissemination::{Hybrid, Poller, Variant as HybridVariant};
use lentilshunt_fake::StrategyFactory;

/// Strategy that distributes versions and records to every node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StrategyKind {
    /// Every node polls the platform.
    Poll,
    /// One tree over the whole fleet.
    Tree,
    /// Gossip over the whole fleet.
    Epidemic,
    /// A tree in each failure domain, and relays between them.
    Hybrid,
}

impl StrategyKind {
    /// All strategies, the baseline first.
    pub(super) const ALL: [Self; 4] = [Self::Poll, Self::Tree, Self::Epidemic, Self::Hybrid];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Poll => "poll",
            Self::Tree => "tree",
            Self::Epidemic => "epidemic",
            Self::Hybrid => "hybrid",
        }
    }

    pub(super) fn factory(self) -> StrategyFactory {
        let variant = match self {
            Self::Poll => {
                return Box::new(|local_record, _, random, now| {
                    Box::new(Poller::new(local_record, random, now))
                });
            }
            Self::Tree => HybridVariant::TREE,
            Self::Epidemic => HybridVariant::EPIDEMIC,
            Self::Hybrid => HybridVariant::HYBRID,
        };
        Box::new(move |local_record, seeds, random, now| {
            Box::new(Hybrid::new(local_record, seeds, random, now).with_variant(variant))
        })
    }
}
