use std::str::FromStr;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use super::{ArgsError, unknown};

/// A `NAME=VALUE` of a command line.
///
/// # Example
///
/// ```
/// use pomeloslip::args::Pair;
///
/// let pair: Pair = "listen=127.0.0.1:0".parse()?;
/// assert_eq!(pair.name, "listen");
/// assert_eq!(pair.value, "127.0.0.1:0");
/// assert!("listen".parse::<Pair>().is_err());
/// # Ok::<(), &'static str>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pair {
    /// What stands before the first `=`.
    pub name: String,
    /// What stands after it.
    pub value: String,
}

impl FromStr for Pair {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, &'static str> {
        match text.split_once('=') {
            Some((name, value)) if !name.is_empty() => Ok(Self {
                name: name.to_owned(),
                value: value.to_owned(),
            }),
            _ => Err("it is no NAME=VALUE"),
        }
    }
}

/// Changes single fields of default settings.
///
/// A name is the field, with dots for fields of fields. A value is JSON, or
/// plain text where the default is text.
///
/// # Errors
///
/// [`ArgsError::Unknown`] for a field that does not exist,
/// [`ArgsError::BadValue`] for a value that does not fit it.
///
/// # Example
///
/// ```
/// use pomeloslip::args::override_settings;
/// use standin::engine::EngineSettings;
///
/// let pairs = ["max_running=4".parse()?];
/// let settings: EngineSettings = override_settings(&pairs)?;
/// assert_eq!(settings.max_running, 4);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn override_settings<T>(pairs: &[Pair]) -> Result<T, ArgsError>
where
    T: Default + Serialize + DeserializeOwned,
{
    let read = |value, name: &str, text: &str| {
        serde_json::from_value::<T>(value).map_err(|error| {
            ArgsError::BadValue {
                what: name.to_owned(),
                value: text.to_owned(),
                cause: error.to_string(),
            }
        })
    };
    let mut settings = T::default();
    for Pair { name, value } in pairs {
        let mut json = serde_json::to_value(&settings).unwrap_or_default();
        set(&mut json, name, value)?;
        settings = read(json, name, value)?;
    }
    Ok(settings)
}

fn set(settings: &mut Value, name: &str, text: &str) -> Result<(), ArgsError> {
    let mut field = settings;
    for part in name.split('.') {
        field = find(field, part)?;
    }
    *field = match field {
        Value::String(_) => text.into(),
        _ => serde_json::from_str(text).unwrap_or_else(|_| text.into()),
    };
    Ok(())
}

fn find<'a>(
    settings: &'a mut Value,
    part: &str,
) -> Result<&'a mut Value, ArgsError> {
    let missing = {
        let fields = settings.as_object();
        let names: Vec<&str> = fields
            .into_iter()
            .flat_map(|fields| fields.keys().map(String::as_str))
            .collect();
        unknown("setting", part.to_owned(), &names)
    };
    settings.get_mut(part).ok_or(missing)
}
