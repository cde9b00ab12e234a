//! Keys that callers present.

use std::fmt;

use snafu::{Snafu, ensure};
use zeroize::Zeroizing;

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A key that a caller presents; it is zeroed when dropped and is not part of debug output.
#[derive(Clone)]
pub struct Key(Zeroizing<Vec<u8>>);

/// Why a text is no key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum KeyError {
    /// The text is empty or longer than 256 bytes.
    #[snafu(display("a key has 1 to {MAX_KEY_BYTES} bytes"))]
    Length,
    /// The text contains a space, a control character or a character that is not ASCII.
    #[snafu(display("a key consists of visible ASCII characters"))]
    Character,
}

impl Key {
    /// Creates a key.
    ///
    /// # Errors
    ///
    /// Returns an error if `text` is empty, is longer than 256 bytes or contains other than visible
    /// ASCII characters.
    pub fn new(text: &[u8]) -> Result<Self, KeyError> {
        ensure!((1..=MAX_KEY_BYTES).contains(&text.len()), LengthSnafu);
        ensure!(text.iter().all(u8::is_ascii_graphic), CharacterSnafu);
        Ok(Self(Zeroizing::new(text.to_vec())))
    }

    /// Returns the bytes of the key.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
