use std::{error, fmt};

use base::Customer;
use indexmap::IndexMap;

/// What the operators set for one customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CustomerTerms {
    weight: u32,
    paused: bool,
}

/// Default weight of a customer.
const DEFAULT_WEIGHT: u32 = 1;

/// Maximum weight of a customer.
const MAX_WEIGHT: u32 = 1_000;

impl Default for CustomerTerms {
    fn default() -> Self {
        Self {
            weight: DEFAULT_WEIGHT,
            paused: false,
        }
    }
}

impl CustomerTerms {
    /// Minimum and maximum weight.
    pub const WEIGHTS: (u32, u32) = (DEFAULT_WEIGHT, MAX_WEIGHT);

    /// Sets the weight.
    ///
    /// # Errors
    ///
    /// [`CustomerTermsError`] for a weight outside [`Self::WEIGHTS`].
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_share::CustomerTerms;
    ///
    /// let terms = CustomerTerms::default().with_weight(3)?;
    /// assert_eq!((terms.weight(), terms.is_paused()), (3, false));
    /// assert!(CustomerTerms::default().with_weight(0).is_err());
    /// # Ok::<(), pomeloslip_share::CustomerTermsError>(())
    /// ```
    pub fn with_weight(
        mut self,
        weight: u32,
    ) -> Result<Self, CustomerTermsError> {
        if !(Self::WEIGHTS.0..=Self::WEIGHTS.1).contains(&weight) {
            return Err(CustomerTermsError(weight));
        }
        self.weight = weight;
        Ok(self)
    }

    /// Sets whether requests of the customer are refused.
    #[must_use]
    pub fn with_paused(mut self, paused: bool) -> Self {
        self.paused = paused;
        self
    }

    /// Returns the weight.
    #[inline]
    pub fn weight(self) -> u32 {
        self.weight
    }

    /// Reports whether requests of the customer are refused.
    #[inline]
    pub fn is_paused(self) -> bool {
        self.paused
    }
}

/// Error for a weight that is out of range.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CustomerTermsError(u32);

impl fmt::Display for CustomerTermsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (min, max) = CustomerTerms::WEIGHTS;
        write!(f, "the weight {} is not in {min} to {max}", self.0)
    }
}

impl error::Error for CustomerTermsError {}

/// The terms of customers; all others have the default terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TermsTable(IndexMap<Customer, CustomerTerms>);

impl TermsTable {
    /// Returns the terms of a customer.
    ///
    /// # Example
    ///
    /// ```
    /// use base::Customer;
    /// use pomeloslip_share::{CustomerTerms, TermsTable};
    ///
    /// let acme: Customer = "acme".parse().expect("a name");
    /// let paused = CustomerTerms::default().with_paused(true);
    /// let table: TermsTable = [(acme.clone(), paused)].into_iter().collect();
    /// assert!(table.get(&acme).is_paused());
    /// ```
    pub fn get(&self, customer: &Customer) -> CustomerTerms {
        self.0.get(customer).copied().unwrap_or_default()
    }

    /// Returns the number of customers with terms of their own.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Reports whether all customers have the default terms.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of paused customers.
    pub fn paused(&self) -> usize {
        self.0.values().filter(|terms| terms.is_paused()).count()
    }
}

impl FromIterator<(Customer, CustomerTerms)> for TermsTable {
    fn from_iter<I>(terms: I) -> Self
    where
        I: IntoIterator<Item = (Customer, CustomerTerms)>,
    {
        Self(terms.into_iter().collect())
    }
}
