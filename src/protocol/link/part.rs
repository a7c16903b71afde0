//! Positions of [`Tokens`] in their answer.

use super::Tokens;
use crate::transport::replay::Part;

impl Part for Tokens {
    fn index(&self) -> u32 {
        self.index
    }

    fn end(&self) -> u32 {
        self.index.saturating_add(self.count)
    }
}
