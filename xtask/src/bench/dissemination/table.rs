//! Results as text.

use std::fmt::Write;

use lentilshunt_load::report::Percentiles;

use super::measure::{Figures, Measurement};

/// Returns a one-line summary of a result.
pub(super) fn summary_line(result: &Measurement) -> String {
    format!(
        "{:<9}{:>4} nodes  start {} reads/s  idle {}  churn {}  storm {}  memory {} KiB",
        result.way,
        result.nodes,
        result.start_reads,
        format_phase(&result.idle),
        format_phase(&result.churn),
        format_phase(&result.storm),
        result.memory / 1024,
    )
}

fn format_phase(figures: &Figures) -> String {
    format!(
        "[{} ms, drain {} ms, missed {}, {:.0} B/s, {:.1} reads/s, {:.3}% core]",
        format_percentiles(&figures.convergence_ms),
        format_percentiles(&figures.drain_ms),
        figures.missed,
        figures.total(),
        figures.reads,
        figures.processor,
    )
}

/// Returns all results as Markdown tables.
pub(super) fn markdown(results: &[Measurement]) -> String {
    let mut text = String::from(
        "| nodes | way | phase | in force ms p50/p99/max | drain ms p50/p99/max | same domain B/s | other domain B/s | other region B/s | platform B/s | total B/s | across regions B/s | messages/s | platform reads/s | writes/s | core % |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for result in results {
        let phases = [
            ("idle", &result.idle),
            ("churn", &result.churn),
            ("storm", &result.storm),
        ];
        for (name, figures) in phases {
            write_row(&mut text, result, name, figures);
        }
    }
    text.push_str("\n| nodes | way | most platform reads/s at start | most writes/s at start | resident KiB per node |\n|---|---|---|---|---|\n");
    for result in results {
        let _written = writeln!(
            text,
            "| {} | {} | {} | {} | {} |",
            result.nodes,
            result.way,
            result.start_reads,
            result.start_writes,
            result.memory / 1024
        );
    }
    text
}

fn write_row(text: &mut String, result: &Measurement, phase: &str, figures: &Figures) {
    let bytes = |link: &str| figures.bytes.get(link).copied().unwrap_or(0.0);
    let missed = if figures.missed > 0 {
        format!(" ({} missed)", figures.missed)
    } else {
        String::new()
    };
    let _written = writeln!(
        text,
        "| {} | {} | {phase} | {}{missed} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} | {:.2} | {:.3} |",
        result.nodes,
        result.way,
        format_percentiles(&figures.convergence_ms),
        format_percentiles(&figures.drain_ms),
        bytes("same_domain"),
        bytes("other_domain"),
        bytes("other_region"),
        bytes("platform"),
        figures.total(),
        figures.across_regions,
        figures.messages,
        figures.reads,
        figures.writes,
        figures.processor,
    );
}

fn format_percentiles(percentiles: &Percentiles) -> String {
    let text = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |ms| format!("{ms:.0}"));
    format!(
        "{} / {} / {}",
        text(percentiles.p50),
        text(percentiles.p99),
        text(percentiles.max)
    )
}
