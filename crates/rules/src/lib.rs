//! Ordered operator rules: parse, compile once per revision, decide, explain.
