use proptest::{collection::vec, prelude::*, sample::Index};

/// Maximum number of alterations of one encoding.
const MAX_ALTERATIONS: usize = 4;

/// Maximum number of bytes that one alteration inserts, removes or repeats.
const MAX_LENGTH: usize = 8;

#[derive(Clone, Debug)]
enum Alteration {
    Replace(Index, u8),
    Insert(Index, Vec<u8>),
    Remove(Index, usize),
    Repeat(Index, usize),
    Truncate(Index),
}

/// Returns a strategy of encodings that differ from a valid one in a few
/// bytes. Some equal it.
///
/// # Example
///
/// ```
/// use pomeloslip_fuzz::{altered_bytes, config};
/// use proptest::test_runner::TestRunner;
///
/// let mut runner = TestRunner::new(config(100));
/// runner
///     .run(&altered_bytes(b"valid"), |bytes| {
///         assert!(bytes.len() < 100);
///         Ok(())
///     })
///     .expect("no failing case");
/// ```
pub fn altered_bytes(valid: &[u8]) -> impl Strategy<Value = Vec<u8>> + use<> {
    let valid = valid.to_vec();
    vec(alteration(), 1..=MAX_ALTERATIONS).prop_map(move |alterations| {
        let mut bytes = valid.clone();
        for alteration in &alterations {
            alter(&mut bytes, alteration);
        }
        bytes
    })
}

fn alteration() -> impl Strategy<Value = Alteration> {
    let at = any::<Index>;
    let length = 1..=MAX_LENGTH;
    prop_oneof![
        3 => (at(), any::<u8>()).prop_map(|(at, b)| Alteration::Replace(at, b)),
        2 => (at(), vec(any::<u8>(), length.clone()))
            .prop_map(|(at, bytes)| Alteration::Insert(at, bytes)),
        2 => (at(), length.clone())
            .prop_map(|(at, count)| Alteration::Remove(at, count)),
        1 => (at(), length)
            .prop_map(|(at, count)| Alteration::Repeat(at, count)),
        1 => at().prop_map(Alteration::Truncate),
    ]
}

fn alter(bytes: &mut Vec<u8>, alteration: &Alteration) {
    if bytes.is_empty() {
        return;
    }
    let length = bytes.len();
    match alteration {
        Alteration::Replace(at, byte) => bytes[at.index(length)] = *byte,
        Alteration::Insert(at, inserted) => {
            let at = at.index(length);
            bytes.splice(at..at, inserted.iter().copied());
        }
        Alteration::Remove(at, count) => {
            let at = at.index(length);
            bytes.drain(at..(at + count).min(length));
        }
        Alteration::Repeat(at, count) => {
            let at = at.index(length);
            let repeated = bytes[at..(at + count).min(length)].to_vec();
            bytes.splice(at..at, repeated);
        }
        Alteration::Truncate(at) => bytes.truncate(at.index(length)),
    }
}
