//! Versions of the store that compare across its restores. A store that is restored from an older copy gives out again
//! the versions that it had given out since, so a version means something only together with the era: the number of
//! restores before it.
//!
//! A version travels packed into one number, with the era in its highest bits. In the first era it is the store's own.

/// Bits of a packed version that hold the store's own number.
const NUMBER_BITS: u32 = 44;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;
/// Highest era; later ones are taken for it.
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// Packs the store's own number of a version with its era.
#[must_use]
pub fn pack(era: u64, number: u64) -> u64 {
    era.min(MAX_ERA) << NUMBER_BITS | number.min(NUMBER_MASK)
}

/// Number of restores before a version.
#[must_use]
pub fn era(version: u64) -> u64 {
    version >> NUMBER_BITS
}

/// The store's own number of a version.
#[must_use]
pub fn number(version: u64) -> u64 {
    version & NUMBER_MASK
}
