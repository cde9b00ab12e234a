//! Which nodes and upstreams exist, and in which phase they are.
//!
//! Each node owns one [`Record`]. An [`Entry`] adds what the others believe of
//! the owner. Entries are ordered by incarnation, sequence, standing and
//! reading, and the highest one counts, so the order in which they arrive does
//! not matter. Only an owner raises the sequence, which is how it refutes a
//! suspicion. A [`MemberList`] holds the highest entry of every node.

mod endpoint;
mod entry;
mod local_record;
mod member;
mod member_list;
mod rendezvous;
mod view;

pub use endpoint::Endpoint;
pub use entry::{apply_update, precedence, stamp_of, supersedes, to_update};
pub use lentilshunt_schema::peer::{
    Announcement, Entry, Liveness, Phase, Record, Stamp, Summary, Update,
};
pub use local_record::LocalRecord;
pub use member::Member;
pub use member_list::{Change, MemberList};
pub use rendezvous::rendezvous_weight;
pub use view::View;
