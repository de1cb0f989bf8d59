//! The `pomeloslipd` binary.

fn main() {}
