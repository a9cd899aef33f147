//! The choice among known runners: two at random, the less loaded of them.

use rand::Rng;

/// Load of a runner as an entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests that this entry has there.
    pub own: u32,
    /// Share of the runner's places in use, queue included, as it last said.
    pub reported: f32,
    /// Whether the runner is in another zone.
    pub far: bool,
}

/// Load that a runner in another zone must be below to be preferred.
const FAR_PENALTY: f32 = 0.5;
/// Share of a runner's places that one request of one's own is taken for.
const OWN_SHARE: f32 = 0.05;

impl Load {
    /// A single figure to compare; lower is better.
    #[must_use]
    pub fn weight(self) -> f32 {
        let distance = if self.far { FAR_PENALTY } else { 0.0 };
        self.reported + self.own as f32 * OWN_SHARE + distance
    }
}

/// Picks the less loaded of two random candidates; gives its position.
pub fn pick_two(loads: &[Load], random: &mut impl Rng) -> Option<usize> {
    if loads.is_empty() {
        return None;
    }
    let first = random.random_range(0..loads.len());
    let second = random.random_range(0..loads.len());
    let better = if loads[second].weight() < loads[first].weight() { second } else { first };
    Some(better)
}
