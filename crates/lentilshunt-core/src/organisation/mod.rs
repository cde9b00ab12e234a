//! Organisations, and the keys by which their requests are recognised.
//!
//! | type | purpose |
//! |---|---|
//! | [`Organisation`] | name, rank and quota of an organisation |
//! | [`Directory`] | finds the organisation that holds a key |
//! | [`Identity`] | whose request it is, as far as its key tells |
//! | [`Quota`] | requests that an organisation may send to all nodes together |

mod directory;
mod identity;
mod key;
mod quota;

pub use directory::Directory;
pub use identity::Identity;
pub use key::{Key, KeyError};
pub use quota::Quota;

/// An organisation whose members send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name: visible ASCII characters.
    pub name: crate::id::OrganisationId,
    /// Rank of its requests, which replaces that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Its quota, if it has one.
    pub quota: Option<Quota>,
}
