//! Sizes, shares, prices and ranks with their units.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};
use snafu::{OptionExt, ResultExt, Snafu};

/// A quantity that can't be read.
#[derive(Debug, Snafu)]
pub enum UnitError {
    /// The number before the unit can't be read.
    #[snafu(display("{text:?} is not a number with the unit {unit}"))]
    Number {
        /// The rejected text.
        text: String,
        /// Unit that was expected.
        unit: String,
        /// What the number parser said.
        source: std::num::ParseFloatError,
    },
    /// The unit is missing or unknown.
    #[snafu(display("{text:?} lacks its unit; expected {unit}"))]
    Unit {
        /// The rejected text.
        text: String,
        /// Unit that was expected.
        unit: String,
    },
    /// The value lies outside its range.
    #[snafu(display("{text} is outside {range}"))]
    Range {
        /// The rejected text.
        text: String,
        /// What is allowed.
        range: String,
    },
    /// The name is not one of the ranks.
    #[snafu(display("{text:?} is not one of urgent, normal, batch"))]
    Rank {
        /// The rejected text.
        text: String,
    },
}

fn number_before(text: &str, unit: &str) -> Result<f64, UnitError> {
    let digits = text.strip_suffix(unit).context(UnitSnafu { text, unit })?;
    digits.trim().parse().context(NumberSnafu { text, unit })
}

/// A share between 0 and 100 per cent, written `25%`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Percent(f64);

impl Percent {
    /// The whole.
    pub const FULL: Self = Self(100.0);

    /// The share as a fraction between 0 and 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        self.0 / 100.0
    }
}

impl FromStr for Percent {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let value = number_before(text, "%")?;
        if !(0.0..=100.0).contains(&value) {
            return RangeSnafu { text, range: "0% to 100%" }.fail();
        }
        Ok(Self(value))
    }
}

impl TryFrom<String> for Percent {
    type Error = UnitError;

    fn try_from(text: String) -> Result<Self, UnitError> {
        text.parse()
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl From<Percent> for String {
    fn from(share: Percent) -> Self {
        share.to_string()
    }
}

/// A size in bytes, written `256KiB` or `1MiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub u64);

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let scale = match text {
            _ if text.ends_with("KiB") => (KIB, "KiB"),
            _ if text.ends_with("MiB") => (MIB, "MiB"),
            _ => (1, "B"),
        };
        let value = number_before(text, scale.1)?;
        if value < 0.0 {
            return RangeSnafu { text, range: "0B and more" }.fail();
        }
        Ok(Self((value * scale.0 as f64) as u64))
    }
}

impl TryFrom<String> for ByteSize {
    type Error = UnitError;

    fn try_from(text: String) -> Result<Self, UnitError> {
        text.parse()
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= MIB && n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n if n >= KIB && n % KIB == 0 => write!(f, "{}KiB", n / KIB),
            n => write!(f, "{n}B"),
        }
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> Self {
        size.to_string()
    }
}

/// A count of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Tokens(pub u64);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::ops::Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

/// A price in millionths of the currency per thousand tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Price(pub u64);

impl Price {
    /// Cost of a number of tokens.
    #[must_use]
    pub fn of(self, tokens: Tokens) -> Cost {
        Cost(self.0 * tokens.0 / 1000)
    }
}

/// An amount in millionths of the currency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Cost(pub u64);

impl std::ops::Add for Cost {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

/// Rank of a request; a lower rank waits for a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A person is waiting at the counter.
    Urgent,
    /// Work of the staff.
    #[default]
    Normal,
    /// Work that can wait.
    Batch,
}

impl Priority {
    /// All ranks, highest first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Position in [`Priority::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        })
    }
}

impl FromStr for Priority {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "batch" => Ok(Self::Batch),
            _ => RankSnafu { text }.fail(),
        }
    }
}

/// Adapter that writes a [`Duration`] as text with a unit, such as `1700ms`.
#[derive(Debug)]
pub struct HumanTime;

impl SerializeAs<Duration> for HumanTime {
    fn serialize_as<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*time))
    }
}

impl<'de> DeserializeAs<'de, Duration> for HumanTime {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text).map_err(serde::de::Error::custom)
    }
}
