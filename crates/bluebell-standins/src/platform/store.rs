//! State of the platform's services behind one lock each.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bluebell_platform::ratings::Rating;

use super::{faults::Faults, instances::Instances, table::Table};

/// Least time between two answers of the weight store.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(200);

/// State of the platform's services.
#[derive(Debug, Default)]
pub struct Store {
    table: Mutex<Table>,
    objects: Mutex<HashMap<String, serde_json::Value>>,
    instances: Mutex<Instances>,
    ratings: Mutex<Vec<Rating>>,
    faults: Mutex<Faults>,
    weights: Mutex<Option<Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    /// Works on the table.
    pub fn table<T>(&self, work: impl FnOnce(&mut Table) -> T) -> T {
        work(&mut lock(&self.table))
    }

    /// Faults in force.
    pub fn faults(&self) -> Faults {
        *lock(&self.faults)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Reads an object.
    pub fn object(&self, key: &str) -> Option<serde_json::Value> {
        lock(&self.objects).get(key).cloned()
    }

    /// Replaces an object.
    pub fn put_object(&self, key: String, value: serde_json::Value) {
        lock(&self.objects).insert(key, value);
    }

    /// Works on the list of instances.
    pub fn instances<T>(&self, work: impl FnOnce(&mut Instances) -> T) -> T {
        work(&mut lock(&self.instances))
    }

    /// Ratings after a position.
    pub fn ratings(&self, after: u64) -> Vec<Rating> {
        lock(&self.ratings).iter().filter(|rating| rating.number > after).cloned().collect()
    }

    /// Adds a rating; its position is given here.
    pub fn add_rating(&self, rating: Rating) {
        let mut ratings = lock(&self.ratings);
        let number = ratings.len() as u64 + 1;
        ratings.push(Rating { number, ..rating });
    }

    /// Whether the weight store answers now.
    pub fn weights_allowed(&self) -> bool {
        let mut last = lock(&self.weights);
        let allowed = last.is_none_or(|last| last.elapsed() >= WEIGHTS_PAUSE);
        if allowed {
            *last = Some(Instant::now());
        }
        allowed
    }
}
