use std::{error, fmt};

/// Says that a node cannot run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeError {
    /// An address cannot be listened on.
    Listen,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NodeError::Listen => "the node cannot listen",
        })
    }
}

impl error::Error for NodeError {}
