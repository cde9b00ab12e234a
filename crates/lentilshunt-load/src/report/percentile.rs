//! Percentiles of measured values.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Microseconds in a millisecond.
const MICROS: f64 = 1000.0;

/// Median, 99th percentile and maximum in milliseconds; null when nothing was measured.
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
    /// Summarises values in microseconds.
    ///
    /// # Panics
    ///
    /// Never: the precision of the histogram is valid, and it resizes.
    #[must_use]
    pub fn from_us(values: impl IntoIterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new(3).expect("a valid precision");
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
    /// Returns how much higher each percentile is than that of `other`.
    ///
    /// The difference of the maxima says nothing and is left out.
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

#[allow(clippy::cast_precision_loss, reason = "times stay far below 2^52 us")]
fn to_ms(value: u64) -> f64 {
    value as f64 / MICROS
}
