//! Reading of a command line, with errors that name the nearest right word.

mod overrides;

use std::{ffi::OsString, fmt, str::FromStr};

use conf::nearest;

pub use self::overrides::{Pair, override_settings};

/// Says what is wrong with a command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ArgsError {
    /// A word that is not UTF-8.
    NotUtf8,
    /// An option without its value.
    NoValue {
        /// The option.
        option: String,
    },
    /// An option that must be given.
    MissingOption {
        /// The option.
        option: &'static str,
    },
    /// A word that must be given.
    MissingWord {
        /// What it stands for, as in the help text.
        what: &'static str,
    },
    /// A value that cannot be read.
    BadValue {
        /// The option or what the word stands for.
        what: String,
        /// The value.
        value: String,
        /// Why it cannot be read.
        cause: String,
    },
    /// A word that is none of those expected.
    Unknown {
        /// What was expected: `subcommand`, `option`.
        kind: &'static str,
        /// The word.
        found: String,
        /// The nearest right word.
        nearest: Option<String>,
    },
    /// An option that is given twice.
    Repeated {
        /// The option.
        option: String,
    },
    /// A word too many.
    Unexpected {
        /// The word.
        found: String,
    },
    /// Options that do not go together, or one of which is needed.
    Combination {
        /// What is wrong.
        message: &'static str,
    },
}

impl fmt::Display for ArgsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ArgsError::NotUtf8 => f.write_str("an argument is not UTF-8"),
            ArgsError::NoValue { option } => {
                write!(f, "{option} needs a value")
            }
            ArgsError::MissingOption { option } => {
                write!(f, "{option} is missing")
            }
            ArgsError::MissingWord { what } => write!(f, "{what} is missing"),
            ArgsError::BadValue { what, value, cause } => {
                write!(f, "{what} cannot be {value:?}: {cause}")
            }
            ArgsError::Unknown {
                kind,
                found,
                nearest,
            } => {
                write!(f, "unknown {kind} {found:?}")?;
                match nearest {
                    Some(nearest) => write!(f, "; did you mean {nearest:?}?"),
                    None => Ok(()),
                }
            }
            ArgsError::Repeated { option } => {
                write!(f, "{option} is given twice")
            }
            ArgsError::Unexpected { found } => {
                write!(f, "unexpected argument {found:?}")
            }
            ArgsError::Combination { message } => f.write_str(message),
        }
    }
}

impl std::error::Error for ArgsError {}

/// A command line that is read piece by piece.
///
/// Options are taken first, by name and from anywhere; then the remaining
/// words in order; [`Args::finish`] refuses what is left, so that a
/// misspelt option is never passed over in silence.
///
/// # Example
///
/// ```
/// use pomeloslip::args::Args;
///
/// let mut args = Args::new(["apply", "rules.yaml", "--expect=7"]);
/// assert_eq!(args.subcommand(&["show", "apply"])?, Some("apply"));
/// assert_eq!(args.required::<u64>("--expect")?, 7);
/// assert_eq!(args.word::<String>("FILE")?, "rules.yaml");
/// args.finish()?;
/// # Ok::<(), pomeloslip::args::ArgsError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Args {
    inner: pico_args::Arguments,
    asked: Vec<&'static str>,
}

impl Args {
    /// Takes the words after the name of the program.
    pub fn new<I>(words: I) -> Self
    where
        I: IntoIterator,
        I::Item: Into<OsString>,
    {
        let words = words.into_iter().map(Into::into).collect();
        Self {
            inner: pico_args::Arguments::from_vec(words),
            asked: Vec::new(),
        }
    }

    /// Takes the command line of this process.
    pub fn from_env() -> Self {
        Self::new(std::env::args_os().skip(1))
    }

    /// Takes the next word as one of the given subcommands; none if there
    /// is no word left or an option comes next.
    ///
    /// # Errors
    ///
    /// [`ArgsError::Unknown`], [`ArgsError::NotUtf8`].
    pub fn subcommand(
        &mut self,
        among: &[&'static str],
    ) -> Result<Option<&'static str>, ArgsError> {
        let word = self.inner.subcommand().map_err(|_| ArgsError::NotUtf8)?;
        let Some(word) = word else {
            return Ok(None);
        };
        match among.iter().find(|name| **name == word) {
            Some(name) => Ok(Some(name)),
            None => Err(unknown("subcommand", word, among)),
        }
    }

    /// Tells whether a flag is given.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.asked.push(name);
        self.inner.contains(name)
    }

    /// Takes the value of an option.
    ///
    /// # Errors
    ///
    /// [`ArgsError::NoValue`], [`ArgsError::BadValue`],
    /// [`ArgsError::NotUtf8`].
    pub fn option<T>(
        &mut self,
        name: &'static str,
    ) -> Result<Option<T>, ArgsError>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.asked.push(name);
        let text = self
            .inner
            .opt_value_from_str::<_, String>(name)
            .map_err(|error| option_error(name, error))?;
        match text {
            None => Ok(None),
            // "--key --json" would otherwise take the flag as the value.
            Some(text) if text.starts_with("--") => Err(ArgsError::NoValue {
                option: name.to_owned(),
            }),
            Some(text) => parse(name, &text).map(Some),
        }
    }

    /// Takes the value of an option that must be given.
    ///
    /// # Errors
    ///
    /// [`ArgsError::MissingOption`], and those of [`Args::option`].
    pub fn required<T>(&mut self, name: &'static str) -> Result<T, ArgsError>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.option(name)?
            .ok_or(ArgsError::MissingOption { option: name })
    }

    /// Takes all values of an option that may be given several times.
    ///
    /// # Errors
    ///
    /// Those of [`Args::option`].
    pub fn repeated<T>(
        &mut self,
        name: &'static str,
    ) -> Result<Vec<T>, ArgsError>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let mut values = Vec::new();
        while let Some(value) = self.option(name)? {
            values.push(value);
        }
        Ok(values)
    }

    /// Takes the next word that is no option.
    ///
    /// # Errors
    ///
    /// [`ArgsError::MissingWord`], [`ArgsError::BadValue`],
    /// [`ArgsError::NotUtf8`], and [`ArgsError::Unknown`] if an option
    /// comes that was not asked for.
    pub fn word<T>(&mut self, what: &'static str) -> Result<T, ArgsError>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.optional_word(what)?
            .ok_or(ArgsError::MissingWord { what })
    }

    /// Takes the next word that is no option, if there is one.
    ///
    /// # Errors
    ///
    /// Those of [`Args::word`] but for the missing word.
    pub fn optional_word<T>(
        &mut self,
        what: &'static str,
    ) -> Result<Option<T>, ArgsError>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self
            .inner
            .opt_free_from_str::<String>()
            .map_err(|_| ArgsError::NotUtf8)?;
        match text {
            None => Ok(None),
            Some(text) if is_option(&text) => Err(self.left_over(text)),
            Some(text) => parse(what, &text).map(Some),
        }
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// [`ArgsError::Unknown`], [`ArgsError::Repeated`] or
    /// [`ArgsError::Unexpected`] if something is left.
    pub fn finish(self) -> Result<(), ArgsError> {
        let left = self.inner.clone().finish();
        match left.into_iter().next() {
            None => Ok(()),
            Some(word) => match word.into_string() {
                Ok(word) => Err(self.left_over(word)),
                Err(_) => Err(ArgsError::NotUtf8),
            },
        }
    }

    fn left_over(&self, word: String) -> ArgsError {
        if !is_option(&word) {
            return ArgsError::Unexpected { found: word };
        }
        let name = word.split('=').next().unwrap_or_default();
        if self.asked.contains(&name) {
            return ArgsError::Repeated {
                option: name.to_owned(),
            };
        }
        unknown("option", name.to_owned(), &self.asked)
    }
}

fn is_option(word: &str) -> bool {
    word.len() > 1 && word.starts_with('-')
}

fn unknown(kind: &'static str, found: String, words: &[&str]) -> ArgsError {
    let nearest = nearest(&found, words.iter().copied()).map(str::to_owned);
    ArgsError::Unknown {
        kind,
        found,
        nearest,
    }
}

fn option_error(name: &str, error: pico_args::Error) -> ArgsError {
    match error {
        pico_args::Error::NonUtf8Argument => ArgsError::NotUtf8,
        _ => ArgsError::NoValue {
            option: name.to_owned(),
        },
    }
}

fn parse<T>(what: &str, text: &str) -> Result<T, ArgsError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    text.parse().map_err(|error: T::Err| ArgsError::BadValue {
        what: what.to_owned(),
        value: text.to_owned(),
        cause: error.to_string(),
    })
}
