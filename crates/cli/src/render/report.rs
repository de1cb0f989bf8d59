use std::fmt::Write;

use error_stack::{AttachmentKind, FrameKind, Report};

use crate::client::ConfigFault;

/// Joins the errors of a report, from the outermost to the cause.
///
/// # Example
///
/// ```
/// use error_stack::Report;
/// use pomeloslip::{args::ArgsError, render::one_line};
///
/// let report = Report::new(ArgsError::NotUtf8);
/// assert_eq!(one_line(&report), "an argument is not UTF-8");
/// ```
pub fn one_line<C>(report: &Report<C>) -> String {
    let mut parts: Vec<String> = Vec::new();
    for frame in report.frames() {
        if let FrameKind::Context(context) = frame.kind() {
            let text = context.to_string().replace('\n', " ");
            if !parts.contains(&text) {
                parts.push(text);
            }
        }
    }
    parts.join(": ")
}

/// Lists the errors of a report with all that is attached to them, one a
/// line.
pub fn chain<C>(report: &Report<C>) -> String {
    let mut text = String::new();
    for frame in report.frames() {
        let line = match frame.kind() {
            FrameKind::Context(context) => format!("  {context}"),
            FrameKind::Attachment(AttachmentKind::Printable(attachment)) => {
                format!("    {attachment}")
            }
            _ => continue,
        };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{}", line.replace('\n', "\n    "));
    }
    text
}

/// Writes a fault of a configuration as `FILE:LINE:COLUMN: KEY: MESSAGE`.
pub fn fault(file: &str, fault: &ConfigFault) -> String {
    let ConfigFault {
        line,
        column,
        key,
        message,
        nearest,
    } = fault;
    let mut text = format!("{file}:{line}:{column}: ");
    if !key.is_empty() {
        let _ = write!(text, "{key}: ");
    }
    text.push_str(message);
    if let Some(nearest) = nearest {
        let _ = write!(text, "; did you mean {nearest:?}?");
    }
    text
}
