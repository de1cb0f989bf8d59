/// Reports whether a JSON text ends where its value ends.
///
/// Only objects, arrays and strings mark their own end. Any other text counts
/// as complete, since nothing in it shows whether it goes on: `12` may be the
/// start of `123`. Brackets are counted, not matched: this tells partial from
/// complete values, not valid from invalid ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JsonScanner {
    state: State,
    depth: u32,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// Before the value.
    #[default]
    Before,
    /// Inside an object or array.
    Inside,
    /// Inside a string.
    InString,
    /// After a backslash in a string.
    Escaped,
    /// After the end of a value.
    After,
    /// In a text that does not mark its own end.
    Unmarked,
}

impl JsonScanner {
    /// Scans bytes.
    pub(crate) fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.state = self.next_state(*byte);
        }
    }

    /// Reports whether the value has ended.
    #[inline]
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.state, State::After | State::Unmarked)
    }

    fn next_state(&mut self, byte: u8) -> State {
        match (self.state, byte) {
            (State::Unmarked, _) => State::Unmarked,
            (State::Escaped, _) => State::InString,
            (State::InString, b'\\') => State::Escaped,
            (State::InString, b'"') => self.after_value(),
            (State::InString, _) => State::InString,
            (_, b'"') => State::InString,
            (_, b'{' | b'[') => {
                self.depth += 1;
                State::Inside
            }
            (State::Inside, b'}' | b']') => {
                self.depth -= 1;
                self.after_value()
            }
            (state, byte) if byte.is_ascii_whitespace() => state,
            (State::Inside, _) => State::Inside,
            (State::Before | State::After, _) => State::Unmarked,
        }
    }

    fn after_value(&self) -> State {
        match self.depth {
            0 => State::After,
            _ => State::Inside,
        }
    }
}
