//! Typed quantities (percentages, sizes, token counts, prices) and request priorities.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};
use snafu::{OptionExt, ResultExt, Snafu};

/// Why a quantity or priority can't be parsed.
#[derive(Debug, Snafu)]
pub enum UnitError {
    /// The number before the unit can't be parsed.
    #[snafu(display("{text:?} is not a number with the unit {unit}"))]
    Number {
        /// The rejected text.
        text: String,
        /// Expected unit.
        unit: String,
        /// Cause.
        source: std::num::ParseFloatError,
    },
    /// The unit is missing or unknown.
    #[snafu(display("{text:?} lacks its unit; expected {unit}"))]
    Unit {
        /// The rejected text.
        text: String,
        /// Expected unit.
        unit: String,
    },
    /// The value is outside the allowed range.
    #[snafu(display("{text} is outside {range}"))]
    Range {
        /// The rejected text.
        text: String,
        /// The allowed range.
        range: String,
    },
    /// The text is not a priority.
    #[snafu(display("{text:?} is not one of urgent, normal, batch"))]
    Priority {
        /// The rejected text.
        text: String,
    },
}

// Parses the number in front of the unit.
fn number_before(text: &str, unit: &str) -> Result<f64, UnitError> {
    let digits = text.strip_suffix(unit).context(UnitSnafu { text, unit })?;
    digits.trim().parse().context(NumberSnafu { text, unit })
}

/// A percentage between 0 and 100, written `25%`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Percent(f64);

impl Percent {
    /// 100 %.
    pub const FULL: Self = Self(100.0);

    /// The percentage as a fraction between 0 and 1.
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
    fn from(percent: Percent) -> Self {
        percent.to_string()
    }
}

/// A size in bytes, written `512B`, `256KiB` or `1MiB`.
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

/// A number of tokens.
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

/// A rate of requests per second, written `3.4`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(from = "f64")]
pub struct Rate(f64);

impl From<f64> for Rate {
    fn from(number: f64) -> Self {
        Self::per_second(number)
    }
}

impl Rate {
    /// Maximum rate; higher ones are clamped to it.
    const MAX: f64 = 1e6;

    /// A number of requests per second, clamped; zero if it is negative or not a number.
    #[must_use]
    pub fn per_second(number: f64) -> Self {
        Self(number.clamp(0.0, Self::MAX).max(0.0))
    }

    /// The number of requests per second.
    #[must_use]
    pub fn value(self) -> f64 {
        self.0
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let value = number_before(text, "")?;
        if !(0.0..=f64::MAX).contains(&value) {
            return RangeSnafu { text, range: "0 and more" }.fail();
        }
        Ok(Self::per_second(value))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A price per thousand tokens, in millionths of the currency unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Price(pub u64);

impl Price {
    /// Cost of `tokens` at this price, rounded down.
    #[must_use]
    pub fn of(self, tokens: Tokens) -> Cost {
        Cost(self.0 * tokens.0 / 1000)
    }
}

/// An amount of money, in millionths of the currency unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Cost(pub u64);

impl std::ops::Add for Cost {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

/// Priority of a request; requests of lower priority wait for those of higher priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Interactive: a customer is waiting for the answer.
    Urgent,
    /// Regular work of staff.
    #[default]
    Normal,
    /// Background work that can be delayed.
    Batch,
}

impl Priority {
    /// All priorities, highest first.
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
            _ => PrioritySnafu { text }.fail(),
        }
    }
}

/// `serde_as` adapter that reads and writes a [`Duration`] as text with units, such as `1700ms`.
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

/// How much longer than usual work takes on a machine; 1 is as usual.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Range of plausible values; others are clamped to it.
    const RANGE: std::ops::RangeInclusive<f64> = 0.05..=50.0;

    /// Converts a percentage, of which 100 is as usual. None if it is not a positive number.
    #[must_use]
    pub fn from_percent(percent: f64) -> Option<Self> {
        let is_valid = percent.is_finite() && percent > 0.0;
        is_valid.then(|| Self((percent / 100.0).clamp(*Self::RANGE.start(), *Self::RANGE.end())))
    }

    /// The factor by which work takes longer.
    #[must_use]
    pub fn factor(self) -> f64 {
        self.0
    }
}
