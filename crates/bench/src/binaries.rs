use std::{
    env,
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt};

use crate::BenchError;

/// Where the two binaries are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Binaries {
    /// The command line, `pomeloslip`.
    pub command: PathBuf,
    /// The daemon, `pomeloslipd`.
    pub daemon: PathBuf,
}

impl Binaries {
    /// Finds the binaries of the same build as the running executable.
    ///
    /// # Errors
    ///
    /// [`BenchError::Binaries`], with the command that makes them.
    pub fn find() -> Result<Self, Report<BenchError>> {
        let own = env::current_exe().change_context(BenchError::Binaries)?;
        // A bench is in `deps`, the binaries are in the folder above it.
        let folders = own.ancestors().skip(1).take(2);
        Self::find_in(folders).ok_or_else(|| {
            Report::new(BenchError::Binaries).attach(format!(
                "pomeloslip and pomeloslipd are not near {}; run \
                 `cargo build --release -p pomeloslip`",
                own.display()
            ))
        })
    }

    /// Finds the binaries in the first of the folders that has both.
    ///
    /// # Example
    ///
    /// ```
    /// use std::path::Path;
    ///
    /// use pomeloslip_bench::Binaries;
    ///
    /// assert_eq!(Binaries::find_in([Path::new("/nowhere")]), None);
    /// ```
    pub fn find_in<'a>(
        folders: impl IntoIterator<Item = &'a Path>,
    ) -> Option<Self> {
        let pairs = folders.into_iter().map(|folder| Self {
            command: folder.join("pomeloslip"),
            daemon: folder.join("pomeloslipd"),
        });
        let mut both = pairs
            .filter(|pair| pair.command.is_file() && pair.daemon.is_file());
        both.next()
    }
}
