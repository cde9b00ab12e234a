//! Order in which requests wait at an upstream.

/// Order in which requests wait at an upstream, and when they are refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Discipline {
    /// The product: [`Waiting`](lentilshunt_core::overload::Waiting), and a second wait past the
    /// target latency.
    Product,
    /// By rank and deadline; a request is refused on arrival if the average run time predicts a
    /// late response, and otherwise waits until its target latency has passed.
    Predicted,
    /// By rank and deadline; a request waits until its target latency has passed.
    Deadline,
    /// Oldest first, until the caller gives up.
    Fifo,
    /// Newest first, until the caller gives up.
    Lifo,
    /// Oldest first, but the oldest is refused while the wait has been long for a while.
    Codel,
}

impl Discipline {
    /// All disciplines.
    pub const ALL: [Self; 6] = [
        Self::Product,
        Self::Predicted,
        Self::Deadline,
        Self::Fifo,
        Self::Lifo,
        Self::Codel,
    ];

    /// Returns the name of the discipline.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Predicted => "predicted",
            Self::Deadline => "deadline",
            Self::Fifo => "fifo",
            Self::Lifo => "lifo",
            Self::Codel => "codel",
        }
    }
}
