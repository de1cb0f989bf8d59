//! The answer that the stand-in engine gives, as a pure function.
//!
//! An answer depends on the model, the prompt and the number of tokens asked
//! for, and on nothing else. A checker can therefore verify every answer byte
//! for byte without having talked to the engine. A random or canned answer
//! was rejected: the first cannot be checked, the second does not show when
//! two requests got each other's answer.

use serde_json::Value;

/// First syllables of the words; two are outside ASCII, so that a stream
/// which is cut within a character is noticed.
const FIRST: [&str; 16] = [
    "ba", "kor", "ta", "mu", "li", "sõ", "ve", "ra", "ni", "po", "hä", "ki",
    "lo", "sa", "de", "mi",
];

/// Last syllables of the words.
const LAST: [&str; 16] = [
    "la", "vak", "rin", "to", "me", "su", "gel", "da", "nor", "pi", "ka",
    "ru", "lis", "ten", "vo", "ma",
];

/// Returns the tokens of an answer: `max_tokens` short words, all but the
/// first with a leading space.
///
/// A longer answer to the same prompt starts with the shorter one.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::answer;
///
/// let short = answer::tokens("korv-lm", "hello", 3);
/// let long = answer::tokens("korv-lm", "hello", 5);
/// assert_eq!(short, long[..3]);
/// assert_ne!(short, answer::tokens("korv-lm", "hallo", 3));
/// ```
pub fn tokens(model: &str, prompt: &str, max_tokens: u32) -> Vec<String> {
    let seed = seed(model, prompt);
    (0..max_tokens)
        .map(|index| {
            let mut token = String::with_capacity(8);
            push_token(&mut token, seed, index);
            token
        })
        .collect()
}

/// Returns the whole answer: the concatenation of its tokens.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::answer;
///
/// let text = answer::text("korv-lm", "hello", 4);
/// assert_eq!(text, answer::tokens("korv-lm", "hello", 4).concat());
/// ```
pub fn text(model: &str, prompt: &str, max_tokens: u32) -> String {
    let seed = seed(model, prompt);
    let mut text = String::with_capacity(max_tokens as usize * 7);
    for index in 0..max_tokens {
        push_token(&mut text, seed, index);
    }
    text
}

/// Returns the prompt that a list of chat messages stands for: one line
/// `role: content` for each.
///
/// Content given in parts is joined; parts without text count as empty, and
/// so does anything that is not a list of messages.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::answer;
///
/// let messages = serde_json::json!([
///     {"role": "system", "content": "Be brief."},
///     {"role": "user", "content": [{"type": "text", "text": "Hi"}]},
/// ]);
/// let prompt = answer::prompt_of_chat(&messages);
/// assert_eq!(prompt, "system: Be brief.\nuser: Hi\n");
/// ```
pub fn prompt_of_chat(messages: &Value) -> String {
    let mut prompt = String::new();
    for message in messages.as_array().into_iter().flatten() {
        prompt.push_str(message["role"].as_str().unwrap_or_default());
        prompt.push_str(": ");
        push_content(&mut prompt, &message["content"]);
        prompt.push('\n');
    }
    prompt
}

fn push_content(prompt: &mut String, content: &Value) {
    match content {
        Value::String(text) => prompt.push_str(text),
        Value::Array(parts) => {
            for part in parts {
                let text = part["text"].as_str().unwrap_or_default();
                prompt.push_str(text);
            }
        }
        _ => {}
    }
}

fn push_token(text: &mut String, seed: u64, index: u32) {
    let bits = mix(seed.wrapping_add(u64::from(index)));
    if index > 0 {
        text.push(' ');
    }
    text.push_str(FIRST[(bits % 16) as usize]);
    text.push_str(LAST[(bits / 16 % 16) as usize]);
}

fn seed(model: &str, prompt: &str) -> u64 {
    let hash = fold(fold(0, model.as_bytes()), &[0xff]);
    mix(fold(hash, prompt.as_bytes()))
}

/// Folds bytes into a hash (FNV-1a).
///
/// The standard library's hasher was rejected: its result may differ between
/// releases, and processes of different builds must agree on an answer.
pub(crate) fn fold(hash: u64, bytes: &[u8]) -> u64 {
    let start = hash ^ 0xcbf2_9ce4_8422_2325;
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Spreads neighbouring numbers over all bits (the finaliser of SplitMix64).
pub(crate) fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
