//! Parses a file as INI.

use ini::Ini;
use lentilshunt_schema::ini::Problem;

use super::Source;

/// Maximum size of a file, in bytes.
const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
/// Byte order mark that some editors write at the start of a UTF-8 file.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Parses the sections of a file.
///
/// # Errors
///
/// Returns a problem if the file is too long, not UTF-8, not INI or empty.
pub(super) fn parse(source: &Source<'_>) -> Result<Ini, Problem> {
    let name = source.name;
    if source.bytes.len() > MAX_FILE_BYTES {
        let length = source.bytes.len();
        let message =
            format!("the file has {length} bytes, more than the maximum of {MAX_FILE_BYTES}");
        return Err(Problem::new(name, message));
    }
    let text = std::str::from_utf8(source.bytes).map_err(|error| {
        let message = format!(
            "the file is not UTF-8 text; the first invalid byte is at offset {}",
            error.valid_up_to()
        );
        Problem::new(name, message)
    })?;
    let text = text.trim_start_matches(BYTE_ORDER_MARK);
    let ini = Ini::load_from_str_noescape(text)
        .map_err(|error| Problem::new(name, format!("not an INI file: {error}")))?;
    if ini.sections().all(|section| section.is_none()) && ini.general_section().is_empty() {
        let message = "the file is empty; expected a section such as [region NAME]";
        return Err(Problem::new(name, message));
    }
    Ok(ini)
}
