//! Reads the bytes of a file as INI.

use ini::Ini;
use lentilshunt_schema::ini::Problem;

use super::Source;

/// Largest file, in bytes.
const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
/// Mark that some editors put at the start of a UTF-8 file.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Reads the sections of a file.
///
/// # Errors
///
/// Returns the problem of the file as a whole.
pub(super) fn parse(source: &Source<'_>) -> Result<Ini, Problem> {
    let name = source.name;
    if source.bytes.len() > MAX_FILE_BYTES {
        let length = source.bytes.len();
        let message = format!("the file has {length} bytes; at most {MAX_FILE_BYTES} are read");
        return Err(Problem::new(name, message));
    }
    let text = std::str::from_utf8(source.bytes).map_err(|error| {
        let message = format!(
            "the file is not UTF-8 text; the first wrong byte is at {}",
            error.valid_up_to()
        );
        Problem::new(name, message)
    })?;
    let text = text.trim_start_matches(BYTE_ORDER_MARK);
    let ini = Ini::load_from_str_noescape(text)
        .map_err(|error| Problem::new(name, format!("not an INI file: {error}")))?;
    if ini.sections().all(|section| section.is_none()) && ini.general_section().is_empty() {
        let message = "the file is empty; it must have a section such as [region NAME]";
        return Err(Problem::new(name, message));
    }
    Ok(ini)
}
