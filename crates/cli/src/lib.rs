//! Command line of pomeloslip, as a library for its two binaries.

pub mod args;
pub mod client;
pub mod costs;
pub mod daemon;
pub mod demo;
pub mod losses;
pub mod render;
pub mod trace;
