//! Parses the control byte counters of nodes.

use super::ControlBytes;

/// Prefix of the metric lines with control bytes.
const CONTROL_BYTES_PREFIX: &str = "lentilshunt_control_bytes_total{";

impl ControlBytes {
    /// Sums the control bytes over the metrics of nodes, as their admin addresses serve them.
    ///
    /// A link class that no node reports is `None`.
    #[must_use]
    pub fn from_metrics<'a>(metrics: impl IntoIterator<Item = &'a str>) -> Self {
        let mut sum = Self::default();
        for line in metrics.into_iter().flat_map(str::lines) {
            sum.add_line(line);
        }
        sum
    }

    fn add_line(&mut self, line: &str) -> Option<()> {
        let (labels, value) = line.strip_prefix(CONTROL_BYTES_PREFIX)?.split_once("} ")?;
        let bytes: u64 = value.trim().parse().ok()?;
        let class = labels
            .split(',')
            .find_map(|label| label.strip_prefix("link="))?;
        let total = match class.trim_matches('"').replace('-', "_").as_str() {
            "same_domain" => &mut self.same_domain,
            "other_domain" => &mut self.other_domain,
            "other_region" => &mut self.other_region,
            "platform" => &mut self.platform,
            _ => return None,
        };
        *total = Some(total.unwrap_or_default() + bytes);
        Some(())
    }
}
