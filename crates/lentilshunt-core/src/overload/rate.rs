//! A number of requests per second.

use std::{str::FromStr, time::Duration};

use derive_more::Display;
use snafu::{OptionExt, Snafu};

/// Rate below which requests are paced no slower, in requests per second.
///
/// Only a response tells that a limit has ended, so that a few requests are sent under any limit.
const MIN_PACE: f64 = 0.5;

/// A rate in requests per second: finite and not negative.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// The error of a text that is no rate.
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} is not a number of requests per second"))]
pub struct ParseError {
    /// The text.
    text: String,
}

impl Rate {
    /// Returns the time between two requests at this rate, two seconds at most.
    #[must_use]
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(self.0.max(MIN_PACE).recip())
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    /// Parses a decimal number of requests per second.
    ///
    /// # Errors
    ///
    /// Returns an error for a text that is no number, or a negative or infinite one.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let rate = text.trim().parse().ok();
        rate.filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)
            .map(Self)
            .context(ParseSnafu { text })
    }
}
