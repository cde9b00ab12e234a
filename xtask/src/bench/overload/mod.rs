//! Compares the decisions under load with baselines, in a simulation.

mod plot;

use std::{fs, path::Path};

use bpaf::Bpaf;
use lentilshunt_fake::overload::{Discipline, Model, Pattern, Placement, Settings, Summary};
use snafu::{OptionExt, ResultExt, Whatever};

/// Arguments of the benchmark.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Load pattern; all patterns if none is given
    #[bpaf(argument("PATTERN"), optional)]
    pattern: Option<String>,
    /// Number of upstreams, each with a node; at least 6
    #[bpaf(argument("UPSTREAMS"), fallback(18), display_fallback)]
    upstreams: usize,
    /// Number of seeds over which the results are averaged
    #[bpaf(argument("SEEDS"), fallback(3), display_fallback)]
    seeds: u64,
}

/// Minimum number of upstreams: one in each failure domain.
const MIN_UPSTREAMS: usize = 6;

/// One compared combination of decisions.
#[derive(Clone, Copy, Debug)]
struct Variant {
    discipline: Discipline,
    placement: Placement,
}

impl Variant {
    /// Returns the product with each discipline, and then with each other placement.
    fn all() -> Vec<Self> {
        let disciplines = Discipline::ALL.into_iter().map(|discipline| Self {
            discipline,
            placement: Placement::Product,
        });
        let placements = Placement::ALL.into_iter().skip(1).map(|placement| Self {
            discipline: Discipline::Product,
            placement,
        });
        disciplines.chain(placements).collect()
    }

    fn name(self) -> String {
        format!("{} {}", self.discipline.name(), self.placement.name())
    }
}

/// Prints a table for each pattern and draws `target/bench/overload-PATTERN.svg`.
///
/// # Errors
///
/// Returns an error if an argument is invalid or a plot cannot be written.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    if arguments.upstreams < MIN_UPSTREAMS || arguments.seeds == 0 {
        snafu::whatever!("at least {MIN_UPSTREAMS} upstreams and one seed are needed");
    }
    let folder = root.join("target/bench");
    fs::create_dir_all(&folder).whatever_context("cannot create the report folder")?;
    for pattern in patterns(arguments.pattern.as_deref())? {
        println!("{}", pattern.name());
        println!(
            "  {:<24} {:>7} {:>7} {:>13}",
            "queue and placement", "worth", "served", "worst second"
        );
        let mut curves = Vec::new();
        for variant in Variant::all() {
            let summaries = play(pattern, variant, arguments);
            let mean = |figure: fn(&Summary) -> f64| mean(&summaries, figure);
            println!(
                "  {:<24} {:>7.3} {:>7.3} {:>13.3}",
                variant.name(),
                mean(|summary| summary.total.worth()),
                mean(|summary| summary.total.served()),
                mean(Summary::worst_window),
            );
            if variant.placement == Placement::Product {
                curves.push((variant.discipline, plot::curve(&summaries)));
            }
        }
        let file = folder.join(format!("overload-{}.svg", pattern.name()));
        plot::draw(&file, pattern, &curves)?;
    }
    Ok(())
}

fn patterns(name: Option<&str>) -> Result<Vec<Pattern>, Whatever> {
    let Some(name) = name else {
        return Ok(Pattern::ALL.to_vec());
    };
    let mut patterns = Pattern::ALL.into_iter();
    let names: Vec<_> = Pattern::ALL.into_iter().map(Pattern::name).collect();
    let found = patterns.find(|pattern| pattern.name() == name);
    let pattern = found.with_whatever_context(|| {
        format!("{name:?} is no pattern; there are {}", names.join(", "))
    })?;
    Ok(vec![pattern])
}

/// Plays a pattern once for each seed.
fn play(pattern: Pattern, variant: Variant, arguments: &Arguments) -> Vec<Summary> {
    let run = |seed| {
        let settings = Settings {
            pattern,
            discipline: variant.discipline,
            placement: variant.placement,
            upstreams: arguments.upstreams,
            seed,
        };
        Model::new(settings).run()
    };
    (1..=arguments.seeds).map(run).collect()
}

fn mean(summaries: &[Summary], figure: impl Fn(&Summary) -> f64) -> f64 {
    let count = u32::try_from(summaries.len()).unwrap_or(u32::MAX);
    summaries.iter().map(figure).sum::<f64>() / f64::from(count)
}
