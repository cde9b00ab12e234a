//! Where orders and outcomes are stored.

/// Where orders and outcomes are stored, and how much a version on trial may get.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Settings {
    /// Prefix of the keys of orders in the table of the rules, and of outcomes; the service follows.
    pub key_prefix: String,
    /// Table of the outcomes.
    pub status_table: String,
    /// Share of a service's requests that a version on trial may get, in thousandths.
    pub allowed_share: u16,
}
