//! Finds the rules that may hold for a request without testing each.
//!
//! For every word that rules ask for, a set of rules is kept that it leaves
//! open: those that name it and those that do not ask. The sets of a
//! request's class, customer, model, service and method are intersected, a few
//! machine words for 200 rules. A tree over the conditions was rejected: its
//! size can grow with the product of the conditions.

use std::collections::HashMap;

use crate::{Sample, condition::Condition};

const WORD_BITS: usize = u64::BITS as usize;

/// A set of rules by their number.
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

/// Rules by the value of one condition.
#[derive(Clone, Debug)]
struct WordIndex {
    by_word: HashMap<String, RuleSet>,
    /// Rules that do not ask.
    open: RuleSet,
}

impl WordIndex {
    fn new(
        rules: &[Vec<Condition>],
        words: impl Fn(&Condition) -> Option<Vec<String>>,
    ) -> Self {
        let mut open = RuleSet::empty(rules.len());
        let mut asking = Vec::new();
        for (rule, conditions) in rules.iter().enumerate() {
            match conditions.iter().find_map(&words) {
                None => open.insert(rule),
                Some(words) => asking.push((rule, words)),
            }
        }
        let mut by_word = HashMap::<_, RuleSet>::new();
        for (rule, words) in asking {
            for word in words {
                let set = by_word.entry(word).or_insert_with(|| open.clone());
                set.insert(rule);
            }
        }
        Self { by_word, open }
    }

    fn find(&self, word: Option<&str>) -> &RuleSet {
        word.and_then(|word| self.by_word.get(word))
            .unwrap_or(&self.open)
    }
}

/// Index over all rules.
#[derive(Clone, Debug)]
pub(crate) struct RuleIndex {
    class: WordIndex,
    customer: WordIndex,
    model: WordIndex,
    service: WordIndex,
    method: WordIndex,
}

impl RuleIndex {
    pub(crate) fn new(rules: &[Vec<Condition>]) -> Self {
        let index = |key| {
            WordIndex::new(rules, move |condition: &Condition| {
                let words = words(condition);
                words.filter(|_| condition.key() == key)
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

    /// Returns the rules whose indexed conditions hold, in their order.
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
            ones(common).map(move |bit| at * WORD_BITS + bit)
        })
    }
}

fn ones(mut word: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        if word == 0 {
            return None;
        }
        let bit = word.trailing_zeros() as usize;
        word &= word - 1;
        Some(bit)
    })
}

fn words(condition: &Condition) -> Option<Vec<String>> {
    let list = match condition {
        Condition::Class(any) => texts(any, |one| one.as_str()),
        Condition::Customer(any) => texts(any, |one| one.as_str()),
        Condition::Model(any) => texts(any, |one| one.as_str()),
        Condition::Service(any) => texts(any, |one| one.as_str()),
        Condition::Method(any) => texts(any, |one| one.as_str()),
        _ => return None,
    };
    Some(list)
}

fn texts<T>(any: &[T], text: impl Fn(&T) -> &str) -> Vec<String> {
    any.iter().map(|one| text(one).to_owned()).collect()
}
