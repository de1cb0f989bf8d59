use std::{fmt, marker::PhantomData, ops::Deref};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{SeqAccess, Visitor},
};

/// Newtype name by which the document deserializer recognizes this type, so
/// that it presents a single value as a list of one. An untagged enum would
/// lose the location and cause of errors inside the value.
pub(crate) const NEWTYPE_NAME: &str = "$pomeloslip::OneOrMany";

/// A list of values that may be written as a single value.
///
/// Serializes as a list. An empty list is accepted; a type whose lists must
/// not be empty has to check that itself.
///
/// # Example
///
/// ```
/// use pomeloslip_conf::{OneOrMany, parse};
///
/// let one: OneOrMany<u32> = parse("a", "7")?;
/// let many: OneOrMany<u32> = parse("a", "[7, 8]")?;
/// assert_eq!(*one, [7]);
/// assert_eq!(*many, [7, 8]);
/// # Ok::<(), error_stack::Report<pomeloslip_conf::ConfError>>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Hash)]
pub struct OneOrMany<T>(Vec<T>);

impl<T> OneOrMany<T> {
    /// Wraps a list.
    #[inline]
    pub fn new(values: Vec<T>) -> Self {
        Self(values)
    }
}

impl<T> Default for OneOrMany<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> From<T> for OneOrMany<T> {
    fn from(value: T) -> Self {
        Self(vec![value])
    }
}

impl<T> Deref for OneOrMany<T> {
    type Target = [T];

    fn deref(&self) -> &[T] {
        &self.0
    }
}

impl<T: Serialize> Serialize for OneOrMany<T> {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(s)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for OneOrMany<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_newtype_struct(NEWTYPE_NAME, ListVisitor(PhantomData))
    }
}

struct ListVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ListVisitor<T> {
    type Value = OneOrMany<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value or a list of values")
    }

    fn visit_newtype_struct<D: Deserializer<'de>>(
        self,
        d: D,
    ) -> Result<Self::Value, D::Error> {
        Vec::deserialize(d).map(OneOrMany)
    }

    fn visit_seq<A: SeqAccess<'de>>(
        self,
        mut items: A,
    ) -> Result<Self::Value, A::Error> {
        let mut values = Vec::new();
        while let Some(value) = items.next_element()? {
            values.push(value);
        }
        Ok(OneOrMany(values))
    }
}
