//! Serialisation of [`Tokens`], the hottest message: a sequence instead of a map.

use super::Tokens;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Parts of a serialised [`Tokens`].
const PARTS: usize = 3;

impl Serialize for Tokens {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(PARTS)?;
        tuple.serialize_element(&self.index)?;
        tuple.serialize_element(&self.count)?;
        tuple.serialize_element(&self.text)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Tokens {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(PARTS, TokensVisitor)
    }
}

/// Reads the sequence that [`Tokens`] is written as.
struct TokensVisitor;

impl<'de> Visitor<'de> for TokensVisitor {
    type Value = Tokens;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("index, count and text")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Tokens, A::Error> {
        Ok(Tokens {
            index: part(&mut parts, 0)?,
            count: part(&mut parts, 1)?,
            text: part(&mut parts, 2)?,
        })
    }
}

fn part<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    parts: &mut A,
    position: usize,
) -> Result<T, A::Error> {
    parts
        .next_element()?
        .ok_or_else(|| Error::invalid_length(position, &"index, count and text"))
}
