//! Secrets, which are never printed.

use std::fmt;

/// A secret. Its debug output does not show it.
#[derive(Clone, Default, PartialEq, Eq)]
pub(crate) struct Secret(Vec<u8>);

impl Secret {
    /// Keeps a secret.
    pub(crate) fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the secret, for proofs and signatures only.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
