//! Command line and settings of a program.

use std::{fs, path::PathBuf, process::ExitCode};

use bpaf::{OptionParser, Parser, construct, long, positional};
use lentilshunt_schema::ini::{self, Problem, Problems};
use serde::de::DeserializeOwned;

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// A program that is configured by an INI file.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Description in the help, one line.
    pub description: &'static str,
    /// Name of the type of its settings in the schema, for example `Node`.
    pub schema_type: &'static str,
}

#[derive(Clone, Debug)]
struct Options {
    check_settings: bool,
    file: PathBuf,
}

impl Program {
    /// Parses the command line and loads the settings file that it specifies.
    ///
    /// # Errors
    ///
    /// Returns the exit code when the settings are invalid, after printing the
    /// problems, or when `--check-settings` is given.
    pub fn load_settings<T: DeserializeOwned>(self) -> Result<T, ExitCode> {
        let options = self.parser().run();
        match self.read(&options.file) {
            Ok(_settings) if options.check_settings => Err(ExitCode::SUCCESS),
            Ok(settings) => Ok(settings),
            Err(problems) => {
                eprintln!("{problems}");
                Err(ExitCode::from(INVALID_SETTINGS))
            }
        }
    }

    fn parser(self) -> OptionParser<Options> {
        let check_settings = long("check-settings")
            .help("Checks the settings and exits")
            .switch();
        let file = positional("SETTINGS").help("Settings file");
        construct!(Options {
            check_settings,
            file
        })
        .to_options()
        .descr(self.description)
        .version(env!("CARGO_PKG_VERSION"))
    }

    fn read<T: DeserializeOwned>(self, file: &PathBuf) -> Result<T, Problems> {
        let name = file.display().to_string();
        let bytes = fs::read(file).map_err(|error| {
            let message = format!("the file cannot be read: {error}");
            Problems(vec![Problem::new(&name, message)])
        })?;
        ini::read(self.schema_type, &name, &bytes)
    }
}
