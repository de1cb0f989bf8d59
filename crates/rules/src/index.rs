//! Inverted index that finds candidate rules without evaluating each rule.
//!
//! For each value named by a condition, the index stores the set of rules that
//! the value does not rule out: rules that name it and rules without that
//! condition. A lookup intersects the sets for the request's class, customer,
//! model, service and method, a few machine words for 200 rules. A decision
//! tree over the conditions was rejected, since its size can grow with the
//! product of the conditions.

use std::collections::HashMap;

use crate::{Sample, condition::Condition};

const WORD_BITS: usize = u64::BITS as usize;

/// A set of rule indices, stored as a bitmap.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct RuleSet(Vec<u64>);

impl RuleSet {
    fn empty(rules: usize) -> Self {
        Self(vec![0; rules.div_ceil(WORD_BITS)])
    }

    fn insert(&mut self, rule: usize) {
        self.0[rule / WORD_BITS] |= 1 << (rule % WORD_BITS);
    }
}

/// Rules by the value of one kind of condition.
#[derive(Clone, Debug)]
struct ValueIndex {
    by_value: HashMap<String, RuleSet>,
    /// Rules without a condition of this kind.
    unconstrained: RuleSet,
}

impl ValueIndex {
    fn new(
        rules: &[Vec<Condition>],
        indexed_values: impl Fn(&Condition) -> Option<Vec<String>>,
    ) -> Self {
        let mut unconstrained = RuleSet::empty(rules.len());
        let mut constrained = Vec::new();
        for (rule, conditions) in rules.iter().enumerate() {
            match conditions.iter().find_map(&indexed_values) {
                None => unconstrained.insert(rule),
                Some(values) => constrained.push((rule, values)),
            }
        }
        let mut by_value = HashMap::<_, RuleSet>::new();
        for (rule, values) in constrained {
            for value in values {
                let set = by_value
                    .entry(value)
                    .or_insert_with(|| unconstrained.clone());
                set.insert(rule);
            }
        }
        Self {
            by_value,
            unconstrained,
        }
    }

    fn find(&self, value: Option<&str>) -> &RuleSet {
        value
            .and_then(|value| self.by_value.get(value))
            .unwrap_or(&self.unconstrained)
    }
}

/// Index over all rules.
#[derive(Clone, Debug)]
pub(crate) struct RuleIndex {
    class: ValueIndex,
    customer: ValueIndex,
    model: ValueIndex,
    service: ValueIndex,
    method: ValueIndex,
}

impl RuleIndex {
    pub(crate) fn new(rules: &[Vec<Condition>]) -> Self {
        let index = |key| {
            ValueIndex::new(rules, move |condition: &Condition| {
                let indexed_values = indexed_values(condition);
                indexed_values.filter(|_| condition.key() == key)
            })
        };
        Self {
            class: index("class"),
            customer: index("tenant"),
            model: index("model"),
            service: index("service"),
            method: index("method"),
        }
    }

    /// Returns the indices of the rules whose indexed conditions hold, in
    /// order.
    pub(crate) fn candidates<'a>(
        &'a self,
        sample: &Sample<'_>,
    ) -> impl Iterator<Item = usize> + use<'a> {
        let sets = [
            self.class.find(Some(sample.class.as_str())),
            self.customer.find(Some(sample.customer)),
            self.model.find(sample.model),
            self.service.find(sample.service),
            self.method.find(Some(sample.method)),
        ];
        let words = 0..sets[0].0.len();
        words.flat_map(move |at| {
            let common = sets.iter().fold(!0, |all, set| all & set.0[at]);
            set_bits(common).map(move |bit| at * WORD_BITS + bit)
        })
    }
}

fn set_bits(mut word: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        if word == 0 {
            return None;
        }
        let bit = word.trailing_zeros() as usize;
        word &= word - 1;
        Some(bit)
    })
}

fn indexed_values(condition: &Condition) -> Option<Vec<String>> {
    let list = match condition {
        Condition::Class(values) => to_strings(values, |one| one.as_str()),
        Condition::Customer(values) => to_strings(values, |one| one.as_str()),
        Condition::Model(values) => to_strings(values, |one| one.as_str()),
        Condition::Service(values) => to_strings(values, |one| one.as_str()),
        Condition::Method(values) => to_strings(values, |one| one.as_str()),
        _ => return None,
    };
    Some(list)
}

fn to_strings<T>(values: &[T], text: impl Fn(&T) -> &str) -> Vec<String> {
    values.iter().map(|one| text(one).to_owned()).collect()
}
