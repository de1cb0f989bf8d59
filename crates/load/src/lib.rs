//! Open-loop load generator that verifies every answer.
