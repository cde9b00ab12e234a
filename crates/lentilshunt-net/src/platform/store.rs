//! Interface to the object store.

use std::fmt::Debug;

use super::Error;
use crate::BoxFuture;

/// The platform's object store.
pub trait Store: Debug + Send + Sync {
    /// Stores content under a name; storing the same content again has no effect.
    fn put(&self, name: String, content: Vec<u8>) -> BoxFuture<'_, Result<(), Error>>;

    /// Returns the content stored under a name, if there is any.
    fn get(&self, name: String) -> BoxFuture<'_, Result<Option<Vec<u8>>, Error>>;
}
