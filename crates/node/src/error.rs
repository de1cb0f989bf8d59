use std::{error, fmt};

/// The reason why a node cannot run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeError {
    /// An address cannot be bound.
    Listen,
    /// The file with the weights and pauses of customers is invalid.
    Customers,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NodeError::Listen => "the node cannot listen on its address",
            NodeError::Customers => "the customers file cannot be used",
        })
    }
}

impl error::Error for NodeError {}
