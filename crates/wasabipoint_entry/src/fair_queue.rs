//! Deficit round robin over customers, weighted by tokens.

use std::collections::{BTreeMap, VecDeque};

use wasabipoint_kernel::CustomerId;

/// Tokens that a customer's turn adds to its deficit. Well below the cost of a usual request: with
/// 256, a customer served twelve short requests in a row while another one waited.
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
    deficit_tokens: u64,
    is_served: bool,
}

impl<T> CustomerQueue<T> {
    fn next_cost(&self) -> u64 {
        self.items.front().map_or(0, |item| item.cost_tokens)
    }
}

/// A queue in which each waiting customer gets the same share of tokens.
#[derive(Debug)]
pub struct FairQueue<T> {
    customers: BTreeMap<CustomerId, CustomerQueue<T>>,
    order: VecDeque<CustomerId>,
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
            order: VecDeque::new(),
        }
    }

    /// Adds an item behind the customer's other items.
    pub fn push(&mut self, customer: &CustomerId, id: u64, cost_tokens: u64, value: T) {
        let queue = self.customers.entry(customer.clone()).or_insert_with(|| {
            self.order.push_back(customer.clone());
            CustomerQueue {
                items: VecDeque::new(),
                deficit_tokens: 0,
                is_served: false,
            }
        });
        queue.items.push_back(Item {
            id,
            cost_tokens,
            value,
        });
    }

    /// Takes the next item.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            for _ in 0..self.order.len() {
                if let Some(value) = self.serve_front() {
                    return Some(value);
                }
            }
            if self.order.is_empty() {
                return None;
            }
            self.skip_empty_rounds();
        }
    }

    /// Serves the customer whose turn it is, or passes the turn on.
    fn serve_front(&mut self) -> Option<T> {
        let customer = self.order.front()?.clone();
        let queue = self.queue_mut(&customer);
        if !queue.is_served {
            queue.is_served = true;
            queue.deficit_tokens += QUANTUM_TOKENS;
        }
        if queue.next_cost() > queue.deficit_tokens {
            queue.is_served = false;
            self.order.rotate_left(1);
            return None;
        }
        queue.deficit_tokens -= queue.next_cost();
        let item = queue.items.pop_front()?;
        if queue.items.is_empty() {
            self.forget(&customer);
        }
        Some(item.value)
    }

    /// Adds at once the rounds in which no customer could be served, so that the time of a pop
    /// does not depend on the cost of requests.
    fn skip_empty_rounds(&mut self) {
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
            .expect("customers in the order have a queue")
    }

    /// Removes an item that gave up.
    pub fn remove(&mut self, customer: &CustomerId, id: u64) -> Option<T> {
        self.remove_item(customer, |item| item.id == id)
    }

    /// Removes the customer's first item for which `is_match` holds.
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
            self.forget(customer);
        }
        item.map(|item| item.value)
    }

    fn forget(&mut self, customer: &CustomerId) {
        self.customers.remove(customer);
        self.order.retain(|other| other != customer);
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.customers.values().map(|queue| queue.items.len()).sum()
    }

    /// Tells whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Returns the number of items expected to be served before a new item of the customer.
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

    /// Lists the waiting items.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.customers
            .values()
            .flat_map(|queue| queue.items.iter().map(|item| &item.value))
    }
}
