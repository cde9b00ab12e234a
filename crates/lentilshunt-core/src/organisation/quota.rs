//! Requests that an organisation may send.

/// Requests that an organisation may send to all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; finite and positive.
    pub rate: f64,
    /// Requests that may come at once after a pause; finite and not negative.
    pub burst: f64,
}

impl Quota {
    /// Creates a quota; returns `None` if `rate` is not positive, which means no limit, or if a
    /// number is not finite or negative.
    #[must_use]
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let is_limit = rate.is_finite() && rate > 0.0 && burst.is_finite() && burst >= 0.0;
        is_limit.then_some(Self { rate, burst })
    }
}
