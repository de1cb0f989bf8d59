//! Command line of pomeloslip, as a library for its two binaries.
