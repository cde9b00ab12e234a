//! Percentiles of measured values.

use hdrhistogram::Histogram;
use serde::Serialize;

const MICROS_PER_MILLI: f64 = 1000.0;

/// Median, 99th percentile and maximum in milliseconds; `None` without values.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: Option<f64>,
    /// 99th percentile.
    pub p99: Option<f64>,
    /// Maximum.
    pub max: Option<f64>,
}

impl Percentiles {
    /// Computes the percentiles of values in microseconds.
    ///
    /// # Panics
    ///
    /// Never panics: the precision of the histogram is valid, and the histogram resizes.
    #[must_use]
    pub fn from_us(values: impl IntoIterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new(3).expect("the precision is valid");
        for value in values {
            histogram.record(value).expect("the histogram resizes");
        }
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |quantile| Some(to_ms(histogram.value_at_quantile(quantile)));
        Self {
            p50: at(0.5),
            p99: at(0.99),
            max: Some(to_ms(histogram.max())),
        }
    }
}

impl Percentiles {
    /// Returns the difference of each percentile from that of `other`.
    ///
    /// The difference of the maxima is not meaningful and is left out.
    #[must_use]
    pub fn difference(&self, other: &Self) -> Self {
        let difference = |own: Option<f64>, other: Option<f64>| Some(own? - other?);
        Self {
            p50: difference(self.p50, other.p50),
            p99: difference(self.p99, other.p99),
            max: None,
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "values are far below 2^52 us")]
fn to_ms(value: u64) -> f64 {
    value as f64 / MICROS_PER_MILLI
}
