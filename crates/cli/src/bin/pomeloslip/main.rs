//! The `pomeloslip` binary.

fn main() {}
