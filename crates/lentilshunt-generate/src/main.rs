//! Writes the generated files without building the crates that use them.
//!
//! `cargo xtask generate` does the same. This program also works while the
//! committed types do not compile, for example during a merge.

use std::path::Path;

use snafu::Whatever;

fn main() -> Result<(), Whatever> {
    lentilshunt_generate::run(Path::new("."), false)
}
