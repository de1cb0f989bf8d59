//! Small stand-ins of the platform and the endpoints, for tests and the demo.
