//! Gathers what several processes logged about one id.
//!
//! An item's lines name its job, a request's lines its own id; so lines are
//! chosen by any value that equals the id, in order of their time.

use serde_json::Value;

/// One chosen line.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    ts: String,
    vm: String,
    message: String,
    fields: Vec<(String, Value)>,
}

/// Keys that each line has and that are shown apart.
const OWN_KEYS: [&str; 6] = ["ts", "level", "target", "message", "vm", "role"];

/// Chooses the lines about an id from texts of JSON lines, oldest first.
///
/// Words before the first brace of a line, as collectors of logs add them,
/// are passed over; so is what is no JSON.
///
/// # Example
///
/// ```
/// use pomeloslip::trace::select;
///
/// let front = r#"{"ts":"2","vm":"f","message":"b","request_id":"x"}"#;
/// let worker = r#"w | {"ts":"1","vm":"w","message":"a","job":"x","n":2}
/// {"ts":"3","vm":"w","message":"other","job":"y"}"#;
/// let lines = select("x", [front, worker]);
/// let shown: Vec<String> =
///     lines.iter().map(ToString::to_string).collect();
/// assert_eq!(shown, ["1 w: a job=x n=2", "2 f: b request_id=x"]);
/// ```
pub fn select<'a>(
    id: &str,
    texts: impl IntoIterator<Item = &'a str>,
) -> Vec<TraceLine> {
    let lines = texts.into_iter().flat_map(str::lines);
    let mut chosen: Vec<TraceLine> =
        lines.filter_map(|line| choose(id, line)).collect();
    chosen.sort_by(|a, b| a.ts.cmp(&b.ts));
    chosen
}

fn choose(id: &str, line: &str) -> Option<TraceLine> {
    if !line.contains(id) {
        return None;
    }
    let json = &line[line.find('{')?..];
    let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
        return None;
    };
    let about = fields.values().any(|v| v.as_str() == Some(id));
    if !about {
        return None;
    }
    let text = |key: &str| {
        let value = fields.get(key).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let (ts, vm, message) = (text("ts"), text("vm"), text("message"));
    let rest = fields.into_iter();
    let rest = rest.filter(|(key, _)| !OWN_KEYS.contains(&key.as_str()));
    Some(TraceLine {
        ts,
        vm,
        message,
        fields: rest.collect(),
    })
}

impl std::fmt::Display for TraceLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}: {}", self.ts, self.vm, self.message)?;
        for (key, value) in &self.fields {
            match value {
                Value::String(text) => write!(f, " {key}={text}")?,
                other => write!(f, " {key}={other}")?,
            }
        }
        Ok(())
    }
}
