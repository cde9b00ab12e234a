//! Membership: which nodes and upstreams exist, and their phases.
//!
//! Each node owns one [`Record`]. An [`Entry`] adds the [`Liveness`] that other
//! nodes report about the owner of the record. Entries are ordered by
//! incarnation, sequence, liveness and reading (the number of the last change of
//! the free slots), and the highest one is kept, so the order in which they
//! arrive does not matter. Only the owner raises the sequence, by which it
//! refutes a suspicion. A [`MemberList`] holds the highest entry of
//! every node.

mod address;
mod endpoint;
mod entry;
mod local_record;
mod member;
mod member_list;
mod missing;
mod rendezvous;
mod view;

pub use address::address_of;
pub use endpoint::Endpoint;
pub use entry::{apply_update, precedence, stamp_of, supersedes, to_update};
pub use lentilshunt_schema::peer::{
    Announcement, Entry, Liveness, Phase, Record, Stamp, Summary, Update,
};
pub use local_record::LocalRecord;
pub use member::Member;
pub use member_list::{ChangeKind, MemberList};
pub use missing::Missing;
pub use rendezvous::rendezvous_weight;
pub use view::View;
