//! Deficit round robin over customers, with request costs in tokens.

use std::collections::{BTreeMap, VecDeque};

use wasabipoint_kernel::CustomerId;

/// Tokens added to a customer's deficit counter per turn. Well below the cost of a typical request:
/// with 256, one customer was served twelve short requests in a row while another one waited.
const QUANTUM_TOKENS: u64 = 16;

#[derive(Debug)]
struct Item<T> {
    id: u64,
    cost_tokens: u64,
    value: T,
}

#[derive(Debug)]
struct CustomerQueue<T> {
    items: VecDeque<Item<T>>,
    /// Tokens that the customer may still spend; called the deficit counter in the literature.
    deficit_tokens: u64,
    /// Whether the quantum of the current turn was added already.
    has_quantum: bool,
}

impl<T> CustomerQueue<T> {
    fn next_cost(&self) -> u64 {
        self.items.front().map_or(0, |item| item.cost_tokens)
    }
}

/// A queue that gives each customer with queued items the same share of tokens.
#[derive(Debug)]
pub struct FairQueue<T> {
    customers: BTreeMap<CustomerId, CustomerQueue<T>>,
    /// Customers with queued items; the front one has the current turn.
    round_robin: VecDeque<CustomerId>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            customers: BTreeMap::new(),
            round_robin: VecDeque::new(),
        }
    }

    /// Appends an item to the customer's queue.
    pub fn push(&mut self, customer: &CustomerId, id: u64, cost_tokens: u64, value: T) {
        let queue = self.customers.entry(customer.clone()).or_insert_with(|| {
            self.round_robin.push_back(customer.clone());
            CustomerQueue {
                items: VecDeque::new(),
                deficit_tokens: 0,
                has_quantum: false,
            }
        });
        queue.items.push_back(Item {
            id,
            cost_tokens,
            value,
        });
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            for _ in 0..self.round_robin.len() {
                if let Some(value) = self.serve_front() {
                    return Some(value);
                }
            }
            if self.round_robin.is_empty() {
                return None;
            }
            self.skip_unserved_rounds();
        }
    }

    /// Returns the next item of the customer at the front, or moves on to the next customer if the
    /// deficit counter does not cover the item's cost.
    fn serve_front(&mut self) -> Option<T> {
        let customer = self.round_robin.front()?.clone();
        let queue = self.queue_mut(&customer);
        if !queue.has_quantum {
            queue.has_quantum = true;
            queue.deficit_tokens += QUANTUM_TOKENS;
        }
        if queue.next_cost() > queue.deficit_tokens {
            queue.has_quantum = false;
            self.round_robin.rotate_left(1);
            return None;
        }
        queue.deficit_tokens -= queue.next_cost();
        let item = queue.items.pop_front()?;
        if queue.items.is_empty() {
            self.remove_customer(&customer);
        }
        Some(item.value)
    }

    /// Adds, in one step, the quanta of all rounds in which no customer could be served, so that
    /// the running time of `pop` does not depend on request costs.
    fn skip_unserved_rounds(&mut self) {
        let rounds = self.customers.values().map(|queue| {
            let missing = queue.next_cost().saturating_sub(queue.deficit_tokens);
            missing.div_ceil(QUANTUM_TOKENS)
        });
        let skipped = rounds.min().unwrap_or(0).saturating_sub(1);
        for queue in self.customers.values_mut() {
            queue.deficit_tokens += skipped * QUANTUM_TOKENS;
        }
    }

    fn queue_mut(&mut self, customer: &CustomerId) -> &mut CustomerQueue<T> {
        self.customers
            .get_mut(customer)
            .expect("every customer in the round robin has a queue")
    }

    /// Removes the item with the given id, such as one that timed out.
    pub fn remove(&mut self, customer: &CustomerId, id: u64) -> Option<T> {
        self.remove_item(customer, |item| item.id == id)
    }

    /// Removes the customer's first item whose value satisfies `is_match`.
    pub fn remove_where(
        &mut self,
        customer: &CustomerId,
        is_match: impl Fn(&T) -> bool,
    ) -> Option<T> {
        self.remove_item(customer, |item| is_match(&item.value))
    }

    fn remove_item(
        &mut self,
        customer: &CustomerId,
        is_match: impl Fn(&Item<T>) -> bool,
    ) -> Option<T> {
        let queue = self.customers.get_mut(customer)?;
        let position = queue.items.iter().position(is_match)?;
        let item = queue.items.remove(position);
        if queue.items.is_empty() {
            self.remove_customer(customer);
        }
        item.map(|item| item.value)
    }

    fn remove_customer(&mut self, customer: &CustomerId) {
        self.customers.remove(customer);
        self.round_robin.retain(|other| other != customer);
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.customers.values().map(|queue| queue.items.len()).sum()
    }

    /// Returns whether the queue holds no items.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Estimates the number of items served before a new item of the customer: its own ones, and at
    /// most as many of each other customer as the customer would then have.
    pub fn items_ahead(&self, customer: &CustomerId) -> usize {
        let own = self
            .customers
            .get(customer)
            .map_or(0, |queue| queue.items.len());
        let others = self
            .customers
            .iter()
            .filter(|(other, _)| *other != customer)
            .map(|(_, queue)| queue.items.len().min(own + 1));
        own + others.sum::<usize>()
    }

    /// Iterates over the queued items, grouped by customer.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.customers
            .values()
            .flat_map(|queue| queue.items.iter().map(|item| &item.value))
    }
}
