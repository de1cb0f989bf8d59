//! Where the text of a configuration comes from.

use std::{fs, path::Path};

use error_stack::{Report, ResultExt};
use pomeloslip::client::ConfigText;

use crate::{
    context::Context,
    error::{CommandError, CommandResult},
};

/// Reads a file.
pub(crate) fn read(path: &Path) -> Result<String, Report<CommandError>> {
    fs::read_to_string(path)
        .change_context(CommandError::Failed("cannot read the file"))
        .attach_with(|| path.display().to_string())
}

/// Writes a file; an existing one only if told to.
pub(crate) fn write(path: &Path, text: &str, replace: bool) -> CommandResult {
    let written = if replace {
        fs::write(path, text)
    } else {
        fs::File::create_new(path).and_then(|mut file| {
            std::io::Write::write_all(&mut file, text.as_bytes())
        })
    };
    written
        .change_context(CommandError::Failed("cannot write the file"))
        .attach_with(|| path.display().to_string())
}

/// Gets the configuration in force, or an earlier revision.
pub(crate) fn fetch(
    context: &Context,
    revision: Option<u64>,
) -> Result<ConfigText, Report<CommandError>> {
    let client = context.client()?;
    context
        .block_on(async {
            match revision {
                Some(revision) => client.config_at(revision).await,
                None => client.config().await,
            }
        })?
        .change_context(CommandError::Failed("cannot get the configuration"))
}
