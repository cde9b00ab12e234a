//! Settings and options for the access to the platform.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::Bpaf;
use lentilshunt_net::platform::Client;
use lentilshunt_schema::{
    ini::{self, Problem, Problems},
    settings,
};

/// Settings file and options that override it
#[derive(Bpaf, Clone, Debug)]
pub struct Access {
    /// Settings file
    #[bpaf(env("LENTILSHUNT_SETTINGS"), argument("FILE"))]
    settings: Option<PathBuf>,
    /// Address of the platform; overrides the settings
    #[bpaf(argument("ADDRESS"))]
    platform: Option<SocketAddr>,
    /// Timeout of a request, in milliseconds; overrides the settings
    #[bpaf(argument("MS"))]
    timeout_ms: Option<u64>,
    /// Name of the operator; overrides the settings
    #[bpaf(argument("NAME"))]
    operator: Option<String>,
}

impl Access {
    /// Returns the settings with the options applied.
    ///
    /// # Errors
    ///
    /// Returns the problems of the settings file or of the options.
    pub(super) fn settings(&self) -> Result<settings::Operator, Problems> {
        let (name, bytes) = self.source()?;
        let mut settings: settings::Operator = ini::read("Operator", &name, &bytes)?;
        if let Some(platform) = self.platform {
            settings.platform.address = platform.to_string();
        }
        if let Some(timeout) = self.timeout_ms {
            settings.platform.timeout_ms = timeout
                .try_into()
                .map_err(|_zero| option_problem("--timeout-ms must be at least 1"))?;
        }
        if let Some(operator) = &self.operator {
            settings.acceptance.operator.clone_from(operator);
        }
        let name = &settings.acceptance.operator;
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_' | '@');
        if name.is_empty() || name.len() > MAX_OPERATOR_BYTES || !name.chars().all(allowed) {
            let message = format!(
                "the operator name {name:?} must be at most {MAX_OPERATOR_BYTES} letters, \
                 digits and .-_@"
            );
            return Err(option_problem(&message));
        }
        Ok(settings)
    }

    /// Returns the name and content of the settings file, or those made from `--platform`.
    fn source(&self) -> Result<(String, Vec<u8>), Problems> {
        let Some(file) = &self.settings else {
            let platform = self.platform.ok_or_else(|| {
                option_problem(
                    "specify the platform with --platform, or a settings file with --settings",
                )
            })?;
            let text = format!("[platform]\naddress = {platform}\n");
            return Ok((COMMAND_LINE.to_owned(), text.into_bytes()));
        };
        let name = file.display().to_string();
        match fs::read(file) {
            Ok(bytes) => Ok((name, bytes)),
            Err(error) => {
                let message = format!("the file cannot be read: {error}");
                Err(Problems(vec![Problem::new(&name, message)]))
            }
        }
    }
}

/// File name in problems with options.
const COMMAND_LINE: &str = "command line";
/// Maximum length of an operator name.
const MAX_OPERATOR_BYTES: usize = 64;

/// Creates a client of the platform.
pub(super) fn client(settings: &settings::Operator) -> Client {
    let address = settings.platform.address.parse();
    let address = address.expect("the settings check ensures a valid address");
    let timeout = Duration::from_millis(settings.platform.timeout_ms.get());
    Client::new(address, timeout)
}

fn option_problem(message: &str) -> Problems {
    Problems(vec![Problem::new(COMMAND_LINE, message)])
}
