use std::fmt;

use super::{Problem, Ran};

/// Says why a call of an entry failed.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientError {
    /// The address of the entry is no plain-HTTP URL.
    Address {
        /// What was given.
        server: String,
    },
    /// No connection could be made: the call had no effect.
    Unreachable {
        /// Address of the entry.
        server: String,
    },
    /// The connection was lost before the answer: the call may have taken
    /// effect.
    Lost {
        /// Address of the entry.
        server: String,
    },
    /// The entry refused the call.
    Refused(Box<Problem>),
    /// The answer has another shape than expected.
    BadAnswer {
        /// Path that was called.
        path: String,
    },
    /// A local file cannot be read or written.
    File {
        /// The file.
        path: String,
    },
}

impl ClientError {
    /// Tells whether the call may have taken effect all the same.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip::client::ClientError;
    ///
    /// let server = "http://127.0.0.1:8080".to_owned();
    /// assert!(ClientError::Lost { server: server.clone() }.may_have_run());
    /// assert!(!ClientError::Unreachable { server }.may_have_run());
    /// ```
    pub fn may_have_run(&self) -> bool {
        match self {
            ClientError::Lost { .. } => true,
            ClientError::Refused(problem) => problem.ran == Some(Ran::Unknown),
            _ => false,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::Address { server } => {
                write!(f, "{server:?} is no address like http://IP:PORT")
            }
            ClientError::Unreachable { server } => {
                write!(f, "{server} cannot be reached, nothing was done")
            }
            ClientError::Lost { server } => write!(
                f,
                "{server} gave no whole answer, the call may have taken effect"
            ),
            ClientError::Refused(problem) => problem.fmt(f),
            ClientError::BadAnswer { path } => {
                write!(f, "the answer to {path} has an unknown shape")
            }
            ClientError::File { path } => {
                write!(f, "cannot read or write {path}")
            }
        }
    }
}

impl std::error::Error for ClientError {}
