//! Decoding of rows of the store and of messages of other nodes.

use serde::Deserialize;

/// Maximum number of levels at which arrays and maps may be nested; those of lentilshunt have fewer
/// than ten.
///
/// The decoder calls itself for each level, also of an unknown field, and the default limit of its
/// library takes more stack than a thread has in a build without optimisation.
pub const MAX_LEVELS: usize = 64;

/// Decodes a value.
///
/// # Errors
///
/// Returns the error of the decoder for malformed bytes, and for values that are nested more
/// deeply than [`MAX_LEVELS`].
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, rmp_serde::decode::Error> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MAX_LEVELS);
    T::deserialize(&mut decoder)
}
