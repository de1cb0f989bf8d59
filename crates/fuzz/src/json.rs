use proptest::{collection::vec, prelude::*, sample::Index};
use serde_json::{Value, json};

/// Maximum number of alterations of one text. With more of them, nearly all
/// texts are refused for one and hide the others.
const MAX_ALTERATIONS: usize = 2;

/// Length of the longest text that replaces a value, in bytes.
const LONG_TEXT_BYTES: usize = 10_000;

#[derive(Clone, Debug)]
enum Alteration {
    Replace(Index, Value),
    Remove(Index),
    Repeat(Index),
}

/// Returns a strategy of JSON texts in which a few values of a valid one are
/// replaced, removed or repeated.
///
/// # Panics
///
/// If `valid` is not JSON.
///
/// # Example
///
/// ```
/// use pomeloslip_fuzz::{altered_json, config};
/// use proptest::test_runner::TestRunner;
///
/// let mut runner = TestRunner::new(config(100));
/// runner
///     .run(&altered_json("[1, 2]"), |bytes| {
///         // An error is fine, a panic is not.
///         let _ = serde_json::from_slice::<Vec<u8>>(&bytes);
///         Ok(())
///     })
///     .expect("no failing case");
/// ```
pub fn altered_json(valid: &str) -> impl Strategy<Value = Vec<u8>> + use<> {
    let valid: Value = serde_json::from_str(valid).expect("valid JSON");
    vec(alteration(), 1..=MAX_ALTERATIONS).prop_map(move |alterations| {
        let mut value = valid.clone();
        for alteration in alterations {
            let mut at = alteration.position().index(count(&value));
            alter(&mut value, &mut at, &alteration);
        }
        value.to_string().into_bytes()
    })
}

impl Alteration {
    fn position(&self) -> Index {
        match self {
            Self::Replace(at, _) | Self::Remove(at) | Self::Repeat(at) => *at,
        }
    }
}

fn alteration() -> impl Strategy<Value = Alteration> {
    let at = any::<Index>;
    prop_oneof![
        6 => (at(), extreme())
            .prop_map(|(at, value)| Alteration::Replace(at, value)),
        2 => at().prop_map(Alteration::Remove),
        1 => at().prop_map(Alteration::Repeat),
    ]
}

/// Returns values at the limits of what JSON and the types behind it hold.
fn extreme() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!(true)),
        Just(json!(0)),
        Just(json!(-1)),
        Just(json!(0.5)),
        Just(json!(1e300)),
        Just(json!(-1e300)),
        Just(json!(u32::MAX)),
        Just(json!(u64::MAX)),
        Just(json!(i64::MIN)),
        any::<u64>().prop_map(|number| json!(number)),
        Just(json!("")),
        Just(json!("\u{0}\r\n\u{85}\u{feff}")),
        Just(json!("a b/../%2F?x#y")),
        Just(json!("x".repeat(LONG_TEXT_BYTES))),
        "\\PC{0,12}".prop_map(Value::String),
        Just(json!([])),
        Just(json!({})),
        Just(json!([[[[]]]])),
    ]
}

/// Returns the number of values in a value, itself included.
fn count(value: &Value) -> usize {
    1 + match value {
        Value::Array(values) => values.iter().map(count).sum(),
        Value::Object(fields) => fields.values().map(count).sum(),
        _ => 0,
    }
}

/// Alters the value at a position in depth-first order; returns whether it was
/// reached.
fn alter(value: &mut Value, at: &mut usize, alteration: &Alteration) -> bool {
    if *at == 0 {
        if let Alteration::Replace(_, other) = alteration {
            value.clone_from(other);
        }
        return true;
    }
    match value {
        Value::Array(values) => {
            for index in 0..values.len() {
                *at -= 1;
                let is_target = *at == 0;
                if alter(&mut values[index], at, alteration) {
                    if is_target {
                        alter_entry(values, index, alteration);
                    }
                    return true;
                }
            }
            false
        }
        Value::Object(fields) => {
            let keys: Vec<String> = fields.keys().cloned().collect();
            for key in keys {
                *at -= 1;
                let is_target = *at == 0;
                if alter(&mut fields[&key], at, alteration) {
                    if is_target && matches!(alteration, Alteration::Remove(_))
                    {
                        fields.shift_remove(&key);
                    }
                    return true;
                }
            }
            false
        }
        _ => false,
    }
}

fn alter_entry(
    values: &mut Vec<Value>,
    index: usize,
    alteration: &Alteration,
) {
    match alteration {
        Alteration::Replace(..) => {}
        Alteration::Remove(_) => {
            values.remove(index);
        }
        Alteration::Repeat(_) => values.insert(index, values[index].clone()),
    }
}
