//! Deserializes a syntax tree with serde and reports all problems.
//!
//! Serde's visitors stop at their first error. When a value fails, its problem
//! is recorded and the pass is repeated without the value, until a pass
//! succeeds or the document itself fails. Unknown keys are detected here, from
//! the list of fields that serde passes, so that they are also rejected for
//! types without `deny_unknown_fields`.

use std::{cell::RefCell, collections::HashSet, marker::PhantomData};

use serde::de::{
    self, Deserialize, DeserializeOwned, DeserializeSeed, Deserializer,
    EnumAccess, Expected, IntoDeserializer, MapAccess, SeqAccess, Unexpected,
    VariantAccess, Visitor,
};

use crate::{
    MAX_PROBLEMS, Problem,
    fault::Fault,
    nearest::nearest,
    node::{Entry, Kind, Node, Value},
    one_or_many,
};

/// Problems found by deserialization and the values that it dropped.
#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) problems: Vec<Problem>,
    /// Paths of the values that could not be deserialized.
    pub(crate) dropped: HashSet<String>,
}

/// Deserializes a tree. Returns no value if the document itself fails.
pub(crate) fn deserialize<T: DeserializeOwned>(
    file: &str,
    root: &Node,
) -> (Option<T>, Outcome) {
    let collector = Collector {
        file,
        outcome: RefCell::default(),
    };
    let mut value = None;
    // Each pass but the last drops one more value. A problem can also drop
    // the enclosing values, up to the root.
    while value.is_none()
        && !collector.is_full()
        && !collector.is_dropped(root)
    {
        let before = collector.outcome.borrow().dropped.len();
        let deserializer = NodeDeserializer {
            node: root,
            collector: &collector,
        };
        value = deserializer.read(PhantomData::<T>).ok();
        let after = collector.outcome.borrow().dropped.len();
        if value.is_none() && before == after {
            break;
        }
    }
    (value, collector.outcome.into_inner())
}

/// Collects problems and dropped values over all passes.
struct Collector<'a> {
    file: &'a str,
    outcome: RefCell<Outcome>,
}

impl Collector<'_> {
    fn is_full(&self) -> bool {
        self.outcome.borrow().problems.len() >= MAX_PROBLEMS
    }

    fn is_dropped(&self, node: &Node) -> bool {
        let outcome = self.outcome.borrow();
        !outcome.dropped.is_empty() && outcome.dropped.contains(&node.path)
    }

    fn drop_value(&self, node: &Node) {
        self.outcome.borrow_mut().dropped.insert(node.path.clone());
    }

    fn add(&self, problem: Problem) {
        let problems = &mut self.outcome.borrow_mut().problems;
        if problems.len() < MAX_PROBLEMS && !problems.contains(&problem) {
            problems.push(problem);
        }
    }

    fn add_unknown_key(&self, entry: &Entry, fields: &[&str]) {
        let suggestion = nearest(&entry.key, fields.iter().copied());
        let mut message = "unknown key".to_owned();
        if suggestion.is_none() {
            message = format!("{message}; one of {}", fields.join(", "));
        }
        let path = &entry.value.path;
        let problem =
            Problem::new(self.file, entry.key_location, path, message);
        self.add(problem.with_nearest(suggestion.map(str::to_owned)));
    }
}

/// Deserializer of a value.
#[derive(Clone, Copy)]
struct NodeDeserializer<'a> {
    node: &'a Node,
    collector: &'a Collector<'a>,
}

impl<'a> NodeDeserializer<'a> {
    fn at(self, node: &'a Node) -> Self {
        NodeDeserializer { node, ..self }
    }

    /// Deserializes a nested value.
    ///
    /// A type that is parsed from a string fails after the string was read.
    /// The error is recorded here, where the value is still known.
    fn read<T: DeserializeSeed<'a>>(self, seed: T) -> Result<T::Value, Fault> {
        self.record(seed.deserialize(self))
    }

    /// Records an error of this value and drops the value from later passes.
    fn record<T>(self, result: Result<T, Fault>) -> Result<T, Fault> {
        let fault = match result {
            Ok(value) => return Ok(value),
            Err(fault) => fault,
        };
        match fault {
            Fault::Recorded => {}
            Fault::Missing(field) => self.record_missing(field),
            Fault::Value { message, nearest } => {
                self.collector.drop_value(self.node);
                let Node { location, path, .. } = self.node;
                let problem = Problem::new(
                    self.collector.file,
                    *location,
                    path,
                    message,
                );
                self.collector.add(problem.with_nearest(nearest));
            }
        }
        Err(Fault::Recorded)
    }

    /// Records a missing key, unless the key is present and its value was
    /// dropped.
    fn record_missing(self, field: &str) {
        self.collector.drop_value(self.node);
        let was_dropped = match &self.node.kind {
            Kind::Mapping(entries) => entries.iter().any(|entry| {
                entry.key == field && self.collector.is_dropped(&entry.value)
            }),
            _ => false,
        };
        if !was_dropped {
            let Node { location, path, .. } = self.node;
            let message = format!("missing key `{field}`");
            let problem =
                Problem::new(self.collector.file, *location, path, message);
            self.collector.add(problem);
        }
    }

    fn visit_scalar<V: Visitor<'a>>(
        self,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        let Kind::Scalar(scalar) = &self.node.kind else {
            return Err(self.mismatch(&visitor));
        };
        match scalar.value() {
            Value::Null => visitor.visit_unit(),
            Value::Bool(value) => visitor.visit_bool(value),
            Value::Unsigned(value) => visitor.visit_u64(value),
            Value::Signed(value) => visitor.visit_i64(value),
            Value::Float(value) => visitor.visit_f64(value),
            Value::Text(text) => visitor.visit_borrowed_str(text),
        }
    }

    /// Visits a number as text, so that a name such as `7b` or `3` needs no
    /// quotes. Null and booleans are not accepted as text.
    fn visit_text<V: Visitor<'a>>(
        self,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        let Kind::Scalar(scalar) = &self.node.kind else {
            return Err(self.mismatch(&visitor));
        };
        match scalar.value() {
            Value::Null | Value::Bool(_) => self.visit_scalar(visitor),
            _ => visitor.visit_borrowed_str(&scalar.text),
        }
    }

    fn visit_sequence<V: Visitor<'a>>(
        self,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        let Kind::Sequence(nodes) = &self.node.kind else {
            return self.visit_mismatch(visitor);
        };
        visitor.visit_seq(ItemAccess {
            deserializer: self,
            nodes,
        })
    }

    fn visit_mapping<V: Visitor<'a>>(
        self,
        fields: Option<&'static [&'static str]>,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        let Kind::Mapping(entries) = &self.node.kind else {
            return self.visit_mismatch(visitor);
        };
        visitor.visit_map(EntryAccess {
            deserializer: self,
            entries,
            fields,
            value: None,
        })
    }

    fn visit_mismatch<V: Visitor<'a>>(
        self,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        match &self.node.kind {
            Kind::Scalar(_) => self.visit_scalar(visitor),
            _ => Err(self.mismatch(&visitor)),
        }
    }

    fn mismatch(self, expected: &dyn Expected) -> Fault {
        let found = match &self.node.kind {
            Kind::Scalar(_) => Unexpected::Other("a scalar"),
            Kind::Sequence(_) => Unexpected::Other("a list"),
            Kind::Mapping(_) => Unexpected::Other("a mapping"),
        };
        de::Error::invalid_type(found, expected)
    }
}

macro_rules! forward {
    ($inner:ident: $($method:ident)*) => {
        $(fn $method<V: Visitor<'de>>(
            self,
            visitor: V,
        ) -> Result<V::Value, Fault> {
            self.record(self.$inner(visitor))
        })*
    };
}

impl<'de> Deserializer<'de> for NodeDeserializer<'de> {
    type Error = Fault;

    forward! { visit_scalar:
        deserialize_bool deserialize_i8 deserialize_i16 deserialize_i32
        deserialize_i64 deserialize_u8 deserialize_u16 deserialize_u32
        deserialize_u64 deserialize_f32 deserialize_f64 deserialize_bytes
        deserialize_byte_buf deserialize_unit
    }

    forward! { visit_text:
        deserialize_char deserialize_str deserialize_string
        deserialize_identifier
    }

    forward! { visit_sequence: deserialize_seq }

    fn deserialize_any<V: Visitor<'de>>(
        self,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.record(match &self.node.kind {
            Kind::Scalar(_) => self.visit_scalar(visitor),
            Kind::Sequence(_) => self.visit_sequence(visitor),
            Kind::Mapping(_) => self.visit_mapping(None, visitor),
        })
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(
        self,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_unit()
    }

    fn deserialize_option<V: Visitor<'de>>(
        self,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        if self.node.is_null() {
            return self.record(visitor.visit_none());
        }
        self.record(visitor.visit_some(self))
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.deserialize_unit(visitor)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        if name != one_or_many::NEWTYPE_NAME {
            return self.record(visitor.visit_newtype_struct(self));
        }
        let nodes = match &self.node.kind {
            Kind::Sequence(nodes) => nodes.as_slice(),
            _ => std::slice::from_ref(self.node),
        };
        self.record(visitor.visit_seq(ItemAccess {
            deserializer: self,
            nodes,
        }))
    }

    fn deserialize_tuple<V: Visitor<'de>>(
        self,
        _len: usize,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.deserialize_seq(visitor)
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _len: usize,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.deserialize_seq(visitor)
    }

    fn deserialize_map<V: Visitor<'de>>(
        self,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.record(self.visit_mapping(None, visitor))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.record(self.visit_mapping(Some(fields), visitor))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        let expected = "a string or a mapping with one key";
        self.record(match &self.node.kind {
            Kind::Scalar(scalar) if !self.node.is_null() => {
                visitor.visit_enum(scalar.text.as_str().into_deserializer())
            }
            Kind::Mapping(entries) if entries.len() == 1 => visitor
                .visit_enum(KeyedVariant {
                    deserializer: self,
                    entry: &entries[0],
                }),
            _ => Err(self.mismatch(&expected)),
        })
    }
}

/// Iterates over the items of a sequence that were not dropped.
struct ItemAccess<'a> {
    deserializer: NodeDeserializer<'a>,
    nodes: &'a [Node],
}

impl<'de> SeqAccess<'de> for ItemAccess<'de> {
    type Error = Fault;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Fault> {
        while let Some((node, remainder)) = self.nodes.split_first() {
            self.nodes = remainder;
            if !self.deserializer.collector.is_dropped(node) {
                let value = self.deserializer.at(node).read(seed)?;
                return Ok(Some(value));
            }
        }
        Ok(None)
    }

    fn size_hint(&self) -> Option<usize> {
        Some(self.nodes.len())
    }
}

/// Iterates over the known keys of a mapping whose values were not dropped.
struct EntryAccess<'a> {
    deserializer: NodeDeserializer<'a>,
    entries: &'a [Entry],
    fields: Option<&'static [&'static str]>,
    value: Option<&'a Node>,
}

impl<'de> MapAccess<'de> for EntryAccess<'de> {
    type Error = Fault;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Fault> {
        let collector = self.deserializer.collector;
        while let Some((entry, remainder)) = self.entries.split_first() {
            self.entries = remainder;
            let key = entry.key.as_str();
            if let Some(fields) = self.fields
                && !fields.contains(&key)
            {
                collector.add_unknown_key(entry, fields);
                continue;
            }
            if collector.is_dropped(&entry.value) {
                continue;
            }
            self.value = Some(&entry.value);
            let result = seed.deserialize(key.into_deserializer());
            return self
                .deserializer
                .at(&entry.value)
                .record(result)
                .map(Some);
        }
        Ok(None)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(
        &mut self,
        seed: V,
    ) -> Result<V::Value, Fault> {
        match self.value.take() {
            Some(node) => self.deserializer.at(node).read(seed),
            None => Err(de::Error::custom("a value without a key")),
        }
    }
}

/// Accesses an enum variant that is written as a mapping with one key.
struct KeyedVariant<'a> {
    deserializer: NodeDeserializer<'a>,
    entry: &'a Entry,
}

impl<'de> EnumAccess<'de> for KeyedVariant<'de> {
    type Error = Fault;
    type Variant = NodeDeserializer<'de>;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, NodeDeserializer<'de>), Fault> {
        let key = self.entry.key.as_str();
        let value = seed.deserialize(key.into_deserializer())?;
        Ok((value, self.deserializer.at(&self.entry.value)))
    }
}

impl<'de> VariantAccess<'de> for NodeDeserializer<'de> {
    type Error = Fault;

    fn unit_variant(self) -> Result<(), Fault> {
        <()>::deserialize(self)
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(
        self,
        seed: T,
    ) -> Result<T::Value, Fault> {
        self.read(seed)
    }

    fn tuple_variant<V: Visitor<'de>>(
        self,
        _len: usize,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.deserialize_seq(visitor)
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        self.record(self.visit_mapping(Some(fields), visitor))
    }
}
