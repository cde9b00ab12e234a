//! Writes the generated types without building what uses them.
//!
//! `cargo xtask generate` does the same; this program also works while the
//! committed types do not compile, for example in the middle of a merge.

use std::path::Path;

use snafu::Whatever;

fn main() -> Result<(), Whatever> {
    lentilshunt_generate::run(Path::new("."), false)
}
