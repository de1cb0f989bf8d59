//! Checked YAML settings with errors that name file, line, column and key.
