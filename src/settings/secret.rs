//! Wrapper that keeps secrets out of debug output.

use std::fmt;

/// A secret. Its `Debug` output is redacted.
#[derive(Clone, Default, PartialEq, Eq)]
pub(crate) struct Secret(Vec<u8>);

impl Secret {
    /// Wraps a secret.
    pub(crate) fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the secret in plain form. It must only be used for key derivation and signatures.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
