//! Serialisation of [`Tokens`] as a sequence instead of a map. It is the most frequent message.

use super::Tokens;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Number of elements in a serialised [`Tokens`].
const FIELD_COUNT: usize = 3;

impl Serialize for Tokens {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
        tuple.serialize_element(&self.index)?;
        tuple.serialize_element(&self.count)?;
        tuple.serialize_element(&self.text)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Tokens {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, TokensVisitor)
    }
}

/// Deserialises [`Tokens`] from a sequence.
struct TokensVisitor;

impl<'de> Visitor<'de> for TokensVisitor {
    type Value = Tokens;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("index, count and text")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Tokens, A::Error> {
        Ok(Tokens {
            index: next_field(&mut elements, 0)?,
            count: next_field(&mut elements, 1)?,
            text: next_field(&mut elements, 2)?,
        })
    }
}

fn next_field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    elements: &mut A,
    position: usize,
) -> Result<T, A::Error> {
    elements
        .next_element()?
        .ok_or_else(|| Error::invalid_length(position, &"index, count and text"))
}
