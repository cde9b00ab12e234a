//! Which nodes and upstreams exist, and in which phase they are.

mod endpoint;
mod owner;
mod view;

pub use endpoint::Endpoint;
pub use lentilshunt_schema::peer::{Announcement, Phase, Record};
pub use owner::Owner;
pub use view::View;

/// Returns whether record `new` replaces record `old` of the same instance.
///
/// The higher incarnation wins, then the higher sequence.
#[must_use]
pub fn supersedes(new: &Record, old: &Record) -> bool {
    (new.incarnation, new.sequence) > (old.incarnation, old.sequence)
}
