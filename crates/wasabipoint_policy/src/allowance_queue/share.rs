//! Shares of the kinds of request in a customer's rate.
//!
//! The rate is divided by weighted max-min fairness. Strict precedence would refuse all small requests
//! of a lower priority, which need few tokens, as long as a more urgent kind alone exceeds the rate.

use std::collections::BTreeMap;

use super::AllowanceClass;

/// Factor on the demand of a class up to which it may get a share. Small demands are estimated from few
/// requests.
const DEMAND_MARGIN: f64 = 2.0;

/// Longest time for which a class keeps what it does not use of its share, in seconds. Requests do not
/// arrive evenly, and short kinds can wait for a tenth of a second only.
const MAX_CREDIT_S: f64 = 1.0;

/// What the requests of a class may count on beside those of other classes.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassShare {
    /// Rate of the class, in tokens per second.
    pub(super) tokens_per_s: f64,
    /// Tokens of its share that the class has not used, less those that it used in advance.
    pub(super) credit_tokens: f64,
}

impl ClassShare {
    /// The whole rate, for callers for which tokens were kept.
    pub(super) fn whole(rate_tokens_per_s: f64) -> Self {
        Self {
            tokens_per_s: rate_tokens_per_s,
            credit_tokens: f64::INFINITY,
        }
    }

    /// Returns whether the share covers a number of tokens within a time.
    pub(super) fn covers(self, tokens: u64, left_s: f64) -> bool {
        self.credit_tokens + self.tokens_per_s * left_s >= tokens as f64
    }
}

/// Tokens of its share that a class has not used, less those that it used in advance.
#[derive(Debug, Default, Clone, Copy)]
struct Credit {
    tokens: f64,
    updated_ms: u64,
}

impl Credit {
    fn refill(&mut self, tokens_per_s: f64, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.updated_ms = now_ms;
        let refilled = self.tokens + tokens_per_s * elapsed_s;
        self.tokens = refilled.min(tokens_per_s * MAX_CREDIT_S);
    }
}

/// The shares of all classes of one customer.
#[derive(Debug, Default)]
pub(super) struct ClassShares {
    credits: BTreeMap<AllowanceClass, Credit>,
}

impl ClassShares {
    /// Returns the share of a class, given the demand of each class in tokens per second.
    pub(super) fn share(
        &mut self,
        class: AllowanceClass,
        demands: impl Iterator<Item = (AllowanceClass, f64)>,
        rate_tokens_per_s: f64,
        now_ms: u64,
    ) -> ClassShare {
        let (classes, demands): (Vec<AllowanceClass>, Vec<(f64, f64)>) = demands
            .map(|(class, tokens_per_s)| (class, (tokens_per_s * DEMAND_MARGIN, weight(class))))
            .unzip();
        let shares = divide_rate(rate_tokens_per_s, &demands);
        let position = classes.iter().position(|known| *known == class);
        let tokens_per_s = position.map_or(rate_tokens_per_s, |position| {
            let total: f64 = shares.iter().sum();
            // What nobody asks for is left to everybody.
            shares[position] + (rate_tokens_per_s - total).max(0.0)
        });
        let credit = self.credits.entry(class).or_default();
        credit.refill(tokens_per_s, now_ms);
        ClassShare {
            tokens_per_s,
            credit_tokens: credit.tokens,
        }
    }

    /// Takes tokens from the share of a class.
    pub(super) fn take(&mut self, class: AllowanceClass, tokens: u64) {
        if let Some(credit) = self.credits.get_mut(&class) {
            credit.tokens -= tokens as f64;
        }
    }
}

/// Returns the weight of a class in the division of the rate: each step of the priority halves it.
fn weight(class: AllowanceClass) -> f64 {
    0.5_f64.powi(i32::from(class.priority.min(9)))
}

/// Divides a rate among demands by weighted max-min fairness: no demand gets more than it asks for, and
/// what small demands leave is divided among the others by weight. Returns the share of each.
fn divide_rate(rate_per_s: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    let mut left = rate_per_s;
    while !open.is_empty() {
        let weights: f64 = open.iter().map(|index| demands[*index].1).sum();
        let per_weight = left / weights;
        let is_met = |index: &usize| demands[*index].0 <= demands[*index].1 * per_weight;
        let met: Vec<usize> = open.iter().copied().filter(is_met).collect();
        if met.is_empty() {
            for index in open {
                shares[index] = demands[index].1 * per_weight;
            }
            break;
        }
        for index in met {
            shares[index] = demands[index].0;
            left -= demands[index].0;
            open.retain(|other| *other != index);
        }
    }
    shares
}
