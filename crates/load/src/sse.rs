use serde_json::Value;

/// End marker of a response stream.
const DONE: &str = "[DONE]";

/// An event of a response stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A part of the text; may be empty.
    Text(String),
    /// The response is complete.
    Done,
    /// The server reported an error; contains its JSON.
    Error(Value),
}

/// Decodes server-sent events from chunks of any size.
///
/// # Example
///
/// ```
/// use pomeloslip_load::{Decoder, Event};
///
/// let mut decoder = Decoder::default();
/// let stream = ": comment\n\n\
///     data: {\"choices\":[{\"delta\":{\"content\":\"hä\"}}]}\n\n\
///     data: [DONE]\n\n";
/// // The boundary is within a character.
/// let cut = stream.find('ä').unwrap() + 1;
/// assert!(decoder.push(&stream.as_bytes()[..cut]).is_empty());
/// let events = decoder.push(&stream.as_bytes()[cut..]);
/// assert_eq!(events, [Event::Text("hä".to_owned()), Event::Done]);
/// ```
#[derive(Debug, Default)]
pub struct Decoder {
    partial: Vec<u8>,
}

impl Decoder {
    /// Adds a chunk and returns the events that it completes.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.partial.extend_from_slice(&rest[..end]);
            events.extend(event(&self.partial));
            self.partial.clear();
            rest = &rest[end + 1..];
        }
        self.partial.extend_from_slice(rest);
        events
    }
}

fn event(line: &[u8]) -> Option<Event> {
    let data = line.strip_prefix(b"data:")?.trim_ascii();
    if data == DONE.as_bytes() {
        return Some(Event::Done);
    }
    let Ok(value) = serde_json::from_slice::<Value>(data) else {
        let text = String::from_utf8_lossy(data).into_owned();
        return Some(Event::Error(Value::String(text)));
    };
    let Some(choices) = value["choices"].as_array() else {
        return Some(Event::Error(value));
    };
    let choice = choices.first()?;
    let text = choice["delta"]["content"].as_str();
    let text = text.or(choice["text"].as_str())?;
    Some(Event::Text(text.to_owned()))
}
