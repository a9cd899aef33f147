//! Use of engine time by organisation. Answers a load in which one organisation sends many times its usual: under
//! scarcity it pays more for engine time than the others, and its requests wait behind those of the same rank from
//! organisations within their share. What an organisation doesn't use is left to the others, as shares are relative to
//! those that send requests. Use counts by engine time, not by the number of requests.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::OrgId;

/// Time in which a recorded use loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Fraction of the mean use below which an organisation doesn't count as one that shares.
const MIN_ACTIVE: f64 = 0.02;
/// Bounds of the factor on the price. An organisation in excess still gets the answers that gain most.
const PRICE_FACTORS: std::ops::RangeInclusive<f64> = 0.7..=2.0;
/// Multiple of an equal share from which on an organisation is in excess. Organisations of usual size differ by about this
/// factor.
const EXCESS: f64 = 4.0;
/// Maximum number of organisations that are tracked; the one with the least use is dropped first.
const MAX_ORGS: usize = 1024;

#[derive(Debug, Clone, Copy, Default)]
struct Use {
    amount: f64,
    at: Duration,
}

impl Use {
    fn at(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.amount * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

/// Recent use of the engines of one service by organisation, as one gateway sees it.
#[derive(Debug, Clone, Default)]
pub struct EngineShares {
    uses: IndexMap<OrgId, Use>,
    total: Use,
}

impl EngineShares {
    /// Records work that an organisation gives to the engines, in any unit of engine time.
    pub fn record(&mut self, now: Duration, org: &OrgId, work: f64) {
        if !(work.is_finite() && work > 0.0) {
            return;
        }
        self.total = Use { amount: self.total.at(now) + work, at: now };
        let before = self.uses.get(org).copied().unwrap_or_default();
        self.uses.insert(org.clone(), Use { amount: before.at(now) + work, at: now });
        if self.uses.len() > MAX_ORGS {
            let least =
                (0..self.uses.len()).min_by(|one, other| self.uses[*one].at(now).total_cmp(&self.uses[*other].at(now)));
            least.into_iter().for_each(|index| _ = self.uses.swap_remove_index(index));
        }
    }

    /// Use of an organisation as a multiple of an equal share among those that use the engines; 1 if it is not known.
    #[must_use]
    pub fn ratio(&self, now: Duration, org: &OrgId) -> f64 {
        let total = self.total.at(now);
        let Some(own) = self.uses.get(org).map(|own| own.at(now)).filter(|_| total > 0.0) else { return 1.0 };
        let mean = total / self.uses.len() as f64;
        let active = self.uses.values().filter(|other| other.at(now) >= MIN_ACTIVE * mean).count();
        own / total * active as f64
    }

    /// Factor on the price of engine time for an organisation.
    #[must_use]
    pub fn price_factor(&self, now: Duration, org: &OrgId) -> f64 {
        self.ratio(now, org).sqrt().clamp(*PRICE_FACTORS.start(), *PRICE_FACTORS.end())
    }

    /// Whether an organisation uses far more than an equal share.
    #[must_use]
    pub fn is_in_excess(&self, now: Duration, org: &OrgId) -> bool {
        self.ratio(now, org) > EXCESS
    }
}
