//! Builds the syntax tree of a document from parser events.
//!
//! The event API of `saphyr-parser` feeds a custom tree because the checks
//! need the location of every value after deserialization, and all problems
//! instead of the first one. Rejected alternatives: `serde_yaml_ng` (no
//! locations for later checks, reads an unclosed flow list as text),
//! `serde-saphyr` (locations need a wrapper type around each field, reports
//! one error at a time) and `marked-yaml` (silently takes the last of two
//! equal keys and the first of two documents).

use std::collections::HashMap;

use saphyr_parser::{Event, Marker, Parser, ScalarStyle, Span, Tag};

use crate::{
    Location, Problem,
    node::{Entry, Kind, Node, Scalar, join_index, join_key},
};

/// Maximum nesting depth of a document; deeper nesting could overflow the
/// stack in the recursive walks over the tree.
const MAX_DEPTH: usize = 32;

/// Parses one document into a tree.
///
/// Duplicate keys in a mapping do not abort parsing; they are added to
/// `problems`.
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
        // The parser returns the same error forever, so the loop has to end
        // at the first one.
        let (event, span) = event.map_err(|error| {
            let message = format!("not valid YAML: {}", error.info());
            // At the end of the text, the parser's location can be one line
            // past the end.
            let at = location_of(error.marker()).min(Location::after(text));
            loader.problem(at, message)
        })?;
        loader.event(event, span)?;
    }
    let empty = Problem::new(file, Location::START, "", "is empty");
    let root = loader.root.ok_or(empty.clone())?;
    if root.is_null() { Err(empty) } else { Ok(root) }
}

fn location_of(marker: &Marker) -> Location {
    Location::clamped(marker.line(), marker.col() + 1)
}

/// A sequence or mapping whose end event has not been read yet.
struct OpenNode {
    location: Location,
    path: String,
    content: Content,
}

enum Content {
    Sequence(Vec<Node>),
    Mapping {
        entries: Vec<Entry>,
        /// Key that has been read but whose value has not.
        key: Option<(String, Location)>,
        /// Line of the first occurrence of each key.
        lines: HashMap<String, u32>,
    },
}

struct Loader<'a> {
    file: &'a str,
    problems: &'a mut Vec<Problem>,
    open: Vec<OpenNode>,
    root: Option<Node>,
    documents: usize,
}

impl Loader<'_> {
    fn event(&mut self, event: Event<'_>, span: Span) -> Result<(), Problem> {
        let at = location_of(&span.start);
        match event {
            Event::DocumentStart(_) => self.start_document(at),
            Event::Alias(_) => Err(self
                .problem(at, "aliases are not supported; repeat the value")),
            Event::Scalar(text, style, anchor, tag) => {
                self.reject_properties(at, anchor, tag.as_deref())?;
                let is_plain = style == ScalarStyle::Plain;
                let text = text.into_owned();
                self.scalar(at, Scalar { text, is_plain })
            }
            Event::SequenceStart(anchor, tag) => {
                self.reject_properties(at, anchor, tag.as_deref())?;
                self.start(at, Content::Sequence(Vec::new()))
            }
            Event::MappingStart(anchor, tag) => {
                self.reject_properties(at, anchor, tag.as_deref())?;
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
        Err(self.problem(at, "a second document begins; only one is allowed"))
    }

    fn reject_properties(
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
        let is_empty = scalar.is_plain && scalar.text.is_empty();
        // An omitted value has no location of its own; use that of its key.
        let at = self.key_location().filter(|_| is_empty).unwrap_or(at);
        let path = self.next_path();
        let kind = Kind::Scalar(scalar);
        let location = at;
        self.add_node(Node {
            location,
            path,
            kind,
        });
        Ok(())
    }

    fn key(&mut self, at: Location, scalar: Scalar) -> Result<(), Problem> {
        let name = scalar.text;
        if scalar.is_plain && name.is_empty() {
            return Err(self.problem(at, "a key must not be empty"));
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
            return Err(self.problem(location, "a key must be a scalar"));
        }
        if self.open.len() == MAX_DEPTH {
            let message = format!("nested more than {MAX_DEPTH} levels deep");
            return Err(self.problem(location, message));
        }
        let path = self.next_path();
        self.open.push(OpenNode {
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
        self.add_node(Node {
            location: open.location,
            path: open.path,
            kind,
        });
    }

    fn add_node(&mut self, node: Node) {
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

    /// Returns the path of the next value.
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
