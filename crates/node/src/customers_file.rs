//! The file in which operators set weights and pauses of customers.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
};

use base::Customer;
use conf::{Check, ConfError, Findings, UniqueNames, read_checked};
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use share::{CustomerTerms, TermsTable};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::NodeError;

/// The content of the file.
#[derive(Debug, Deserialize)]
struct CustomersFile {
    customers: Vec<CustomerEntry>,
}

/// One customer; fields that are missing have their defaults.
#[derive(Debug, Deserialize)]
struct CustomerEntry {
    name: Customer,
    #[serde(default = "default_weight")]
    weight: u32,
    #[serde(default)]
    paused: bool,
}

fn default_weight() -> u32 {
    CustomerTerms::default().weight()
}

impl Check for CustomersFile {
    fn check(&self, findings: &mut Findings<'_>) {
        let mut names = UniqueNames::default();
        let (min, max) = CustomerTerms::WEIGHTS;
        for (index, entry) in self.customers.iter().enumerate() {
            let path = findings.item_path("customers", index);
            let name = format!("{path}.name");
            names.add(&name, entry.name.as_str(), findings);
            let weight = format!("{path}.weight");
            findings.check_range(&weight, entry.weight, min, max);
        }
    }
}

impl CustomersFile {
    fn into_terms(self) -> TermsTable {
        let terms = self.customers.into_iter().filter_map(|entry| {
            let terms = CustomerTerms::default().with_weight(entry.weight);
            // The check has found all weights in range.
            Some((entry.name, terms.ok()?.with_paused(entry.paused)))
        });
        terms.collect()
    }
}

/// Reads the terms of customers from a file.
fn read(path: &Path) -> Result<TermsTable, Report<ConfError>> {
    let file: CustomersFile = read_checked(path)?;
    Ok(file.into_terms())
}

/// Reads the file of the settings, and reads it again at each SIGHUP.
///
/// # Errors
///
/// [`NodeError::Customers`] for an invalid file.
pub(crate) fn start(
    path: Option<PathBuf>,
) -> Result<watch::Receiver<Arc<TermsTable>>, Report<NodeError>> {
    let Some(path) = path else {
        return Ok(watch::channel(Arc::default()).1);
    };
    let terms = read(&path).change_context(NodeError::Customers)?;
    log_in_force(&path, &terms);
    let (sender, receiver) = watch::channel(Arc::new(terms));
    let hangup = signal(SignalKind::hangup());
    let mut hangup = hangup.change_context(NodeError::Customers)?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            reload(&path, &sender);
        }
    });
    Ok(receiver)
}

/// Reads the file again. An invalid one changes nothing.
fn reload(path: &Path, sender: &watch::Sender<Arc<TermsTable>>) {
    match read(path) {
        Ok(terms) => {
            log_in_force(path, &terms);
            sender.send_replace(Arc::new(terms));
        }
        Err(report) => {
            log::error!(
                path:% = path.display(),
                error:% = report.current_context();
                "a customers file is refused, the last valid one stays in \
                 force"
            );
        }
    }
}

fn log_in_force(path: &Path, terms: &TermsTable) {
    log::info!(
        path:% = path.display(),
        customers = terms.len(),
        paused = terms.paused();
        "a customers file is in force"
    );
}

#[cfg(test)]
#[path = "../tests/unit/customers_file.rs"]
mod tests;
