use std::sync::Arc;

use fleet::{Config, Route, RouteKind};

use crate::JobManifest;

/// What a node's configuration says about the route of a job.
///
/// A job may reach a node before the configuration by which a front accepted
/// it. An older configuration says nothing about the job: it may lack the
/// route, or lead to a service that the operators have replaced.
#[derive(Clone, Copy, Debug)]
pub enum JobRoute<'a> {
    /// The route by which the items run.
    Known(&'a Arc<Route>),
    /// The route was removed after the job was accepted.
    Removed,
    /// The configuration does not decide: it is missing or older than the
    /// one by which the job was accepted, or it lacks the route and the
    /// configuration that had it is not known.
    Undecided,
}

impl<'a> JobRoute<'a> {
    /// Finds the route of a job in a node's configuration.
    ///
    /// `accepted_by` is the version of the configuration by which the job was
    /// accepted, if the job's inputs contain it.
    ///
    /// # Example
    ///
    /// ```
    /// use fleet::Config;
    /// use pomeloslip_jobs::{JobManifest, JobRoute};
    ///
    /// let manifest = JobManifest {
    ///     host: "a.example".to_owned(),
    ///     path: "/batch/1".to_owned(),
    ///     ..JobManifest::default()
    /// };
    /// let config = |version| Config {
    ///     version,
    ///     ..Config::default()
    /// };
    /// let older = config(6);
    /// let route = JobRoute::find(Some(&older), &manifest, Some(7));
    /// assert!(matches!(route, JobRoute::Undecided));
    /// let newer = config(8);
    /// let route = JobRoute::find(Some(&newer), &manifest, Some(7));
    /// assert!(matches!(route, JobRoute::Removed));
    /// ```
    pub fn find(
        config: Option<&'a Config>,
        manifest: &JobManifest,
        accepted_by: Option<u64>,
    ) -> Self {
        let Some(config) = config else {
            return Self::Undecided;
        };
        if accepted_by.is_some_and(|version| config.version < version) {
            return Self::Undecided;
        }
        let route = config.routes.find(&manifest.host, &manifest.path);
        match route.filter(|route| route.kind() == RouteKind::Batch) {
            Some(route) => Self::Known(route),
            None if accepted_by.is_some() => Self::Removed,
            None => Self::Undecided,
        }
    }

    /// Returns the route by which the items run, if the configuration has it.
    pub fn known(self) -> Option<&'a Arc<Route>> {
        match self {
            Self::Known(route) => Some(route),
            Self::Removed | Self::Undecided => None,
        }
    }
}
