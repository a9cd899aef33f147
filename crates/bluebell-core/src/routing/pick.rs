//! Runner selection by the power of two choices: the less loaded of two random runners.

use rand::Rng;

/// Load of a runner as observed by an entry.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests in flight from this entry.
    pub own: u32,
    /// Last reported utilisation of the runner's slots, including its queue.
    pub reported: f32,
    /// Whether the runner is in another availability zone.
    pub other_zone: bool,
}

/// Utilisation added to a runner in another availability zone: it is chosen only if it is less loaded by more than
/// this.
const OTHER_ZONE_PENALTY: f32 = 0.5;
/// Utilisation assumed for each request in flight from this entry.
const OWN_REQUEST_UTILISATION: f32 = 0.05;

impl Load {
    /// Cost for comparing runners; lower is better.
    #[must_use]
    pub fn weight(self) -> f32 {
        let zone_penalty = if self.other_zone { OTHER_ZONE_PENALTY } else { 0.0 };
        self.reported + self.own as f32 * OWN_REQUEST_UTILISATION + zone_penalty
    }
}

/// Returns the index of the less loaded of two random runners, or `None` if there are none. Both draws may give the
/// same runner.
pub fn pick_two(loads: &[Load], random: &mut impl Rng) -> Option<usize> {
    if loads.is_empty() {
        return None;
    }
    let first = random.random_range(0..loads.len());
    let second = random.random_range(0..loads.len());
    let better = if loads[second].weight() < loads[first].weight() { second } else { first };
    Some(better)
}
