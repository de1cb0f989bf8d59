//! Checked YAML settings with errors that name file, line, column and key.

mod address;
pub mod settings;

pub use crate::address::{AddressError, HttpAddress, parse_socket};
