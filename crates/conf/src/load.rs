//! Builds the tree of a document from the parser's events.
//!
//! The parser is `saphyr-parser`, used by its events, because only a tree of
//! our own gives what the checks need: a place for every value long after it
//! was deserialized, and every problem instead of the first. Tried and
//! rejected: `serde_yaml_ng` (no place for later checks, a flow list left
//! open is read as text), `serde-saphyr` (places need a wrapper type around
//! each field, one error at a time) and `marked-yaml` (takes the last of
//! two equal keys and the first of two documents without a word).

use std::collections::HashMap;

use saphyr_parser::{Event, Marker, Parser, ScalarStyle, Span, Tag};

use crate::{
    Location, Problem,
    node::{Entry, Kind, Node, Scalar, join_index, join_key},
};

/// Deepest nesting of a document; a deeper one could exhaust the stack of
/// the recursive walks over the tree.
const DEPTH_MAX: usize = 32;

/// Parses one document into a tree.
///
/// Equal keys in one mapping do not stop it; they are added to `problems`.
pub(crate) fn load(
    file: &str,
    text: &str,
    problems: &mut Vec<Problem>,
) -> Result<Node, Problem> {
    let mut loader = Loader {
        file,
        problems,
        open: Vec::new(),
        root: None,
        documents: 0,
    };
    for event in Parser::new_from_str(text) {
        // The parser repeats its error for ever; the loop ends at the first.
        let (event, span) = event.map_err(|error| {
            let message = format!("not valid YAML: {}", error.info());
            // At the end of a text, the parser's place can be a line behind.
            let at = place(error.marker()).min(Location::after(text));
            loader.problem(at, message)
        })?;
        loader.event(event, span)?;
    }
    let empty = Problem::new(file, Location::START, "", "is empty");
    let root = loader.root.ok_or(empty.clone())?;
    if root.is_null() { Err(empty) } else { Ok(root) }
}

fn place(marker: &Marker) -> Location {
    Location::clamped(marker.line(), marker.col() + 1)
}

/// A sequence or mapping that has not ended yet.
struct Open {
    location: Location,
    path: String,
    content: Content,
}

enum Content {
    Sequence(Vec<Node>),
    Mapping {
        entries: Vec<Entry>,
        key: Option<(String, Location)>,
        lines: HashMap<String, u32>,
    },
}

struct Loader<'a> {
    file: &'a str,
    problems: &'a mut Vec<Problem>,
    open: Vec<Open>,
    root: Option<Node>,
    documents: usize,
}

impl Loader<'_> {
    fn event(&mut self, event: Event<'_>, span: Span) -> Result<(), Problem> {
        let at = place(&span.start);
        match event {
            Event::DocumentStart(_) => self.start_document(at),
            Event::Alias(_) => Err(self.problem(
                at,
                "aliases are not supported; write the value again",
            )),
            Event::Scalar(text, style, anchor, tag) => {
                self.refuse_properties(at, anchor, tag.as_deref())?;
                let plain = style == ScalarStyle::Plain;
                let text = text.into_owned();
                self.scalar(at, Scalar { text, plain })
            }
            Event::SequenceStart(anchor, tag) => {
                self.refuse_properties(at, anchor, tag.as_deref())?;
                self.start(at, Content::Sequence(Vec::new()))
            }
            Event::MappingStart(anchor, tag) => {
                self.refuse_properties(at, anchor, tag.as_deref())?;
                let content = Content::Mapping {
                    entries: Vec::new(),
                    key: None,
                    lines: HashMap::new(),
                };
                self.start(at, content)
            }
            Event::SequenceEnd | Event::MappingEnd => {
                self.end();
                Ok(())
            }
            Event::Nothing
            | Event::StreamStart
            | Event::StreamEnd
            | Event::DocumentEnd => Ok(()),
        }
    }

    fn start_document(&mut self, at: Location) -> Result<(), Problem> {
        self.documents += 1;
        if self.documents == 1 {
            return Ok(());
        }
        Err(self.problem(at, "a second document begins; one is taken"))
    }

    fn refuse_properties(
        &self,
        at: Location,
        anchor: usize,
        tag: Option<&Tag>,
    ) -> Result<(), Problem> {
        if anchor != 0 {
            return Err(self.problem(at, "anchors are not supported"));
        }
        match tag {
            Some(tag) => {
                let message = format!("the tag {tag} is not supported");
                Err(self.problem(at, message))
            }
            None => Ok(()),
        }
    }

    fn scalar(&mut self, at: Location, scalar: Scalar) -> Result<(), Problem> {
        if self.expects_key() {
            return self.key(at, scalar);
        }
        let empty = scalar.plain && scalar.text.is_empty();
        // A value left out has no place of its own; its key has.
        let at = self.key_location().filter(|_| empty).unwrap_or(at);
        let path = self.next_path();
        let kind = Kind::Scalar(scalar);
        let location = at;
        self.add(Node {
            location,
            path,
            kind,
        });
        Ok(())
    }

    fn key(&mut self, at: Location, scalar: Scalar) -> Result<(), Problem> {
        let name = scalar.text;
        if scalar.plain && name.is_empty() {
            return Err(self.problem(at, "a key cannot be empty"));
        }
        let Some(open) = self.open.last_mut() else {
            return Ok(());
        };
        if let Content::Mapping { key, lines, .. } = &mut open.content {
            let first = lines.get(&name).copied();
            *key = Some((name.clone(), at));
            match first {
                None => {
                    lines.insert(name, at.line);
                }
                Some(line) => {
                    let path = join_key(&open.path, &name);
                    let message =
                        format!("duplicate key, first given in line {line}");
                    let problem = Problem::new(self.file, at, &path, message);
                    self.problems.push(problem);
                }
            }
        }
        Ok(())
    }

    fn start(
        &mut self,
        location: Location,
        content: Content,
    ) -> Result<(), Problem> {
        if self.expects_key() {
            return Err(self.problem(location, "a key must be a word"));
        }
        if self.open.len() == DEPTH_MAX {
            let message = format!("nested more than {DEPTH_MAX} deep");
            return Err(self.problem(location, message));
        }
        let path = self.next_path();
        self.open.push(Open {
            location,
            path,
            content,
        });
        Ok(())
    }

    fn end(&mut self) {
        let Some(open) = self.open.pop() else { return };
        let kind = match open.content {
            Content::Sequence(nodes) => Kind::Sequence(nodes),
            Content::Mapping { entries, .. } => Kind::Mapping(entries),
        };
        self.add(Node {
            location: open.location,
            path: open.path,
            kind,
        });
    }

    fn add(&mut self, node: Node) {
        match self.open.last_mut().map(|open| &mut open.content) {
            None => self.root = Some(node),
            Some(Content::Sequence(nodes)) => nodes.push(node),
            Some(Content::Mapping { entries, key, .. }) => {
                let Some((key, key_location)) = key.take() else {
                    return;
                };
                if entries.iter().any(|entry| entry.key == key) {
                    return;
                }
                entries.push(Entry {
                    key,
                    key_location,
                    value: node,
                });
            }
        }
    }

    fn expects_key(&self) -> bool {
        matches!(
            self.open.last().map(|open| &open.content),
            Some(Content::Mapping { key: None, .. })
        )
    }

    fn key_location(&self) -> Option<Location> {
        match &self.open.last()?.content {
            Content::Mapping { key, .. } => key.as_ref().map(|key| key.1),
            Content::Sequence(_) => None,
        }
    }

    /// Returns the path of the value that comes next.
    fn next_path(&self) -> String {
        let Some(open) = self.open.last() else {
            return String::new();
        };
        match &open.content {
            Content::Sequence(nodes) => join_index(&open.path, nodes.len()),
            Content::Mapping { key, .. } => match key {
                Some((key, _)) => join_key(&open.path, key),
                None => open.path.clone(),
            },
        }
    }

    fn problem(&self, at: Location, message: impl Into<String>) -> Problem {
        Problem::new(self.file, at, &self.next_path(), message)
    }
}
