//! Identifiers of everything that processes name to each other.
//!
//! Each is a newtype over text or a number with `Display` and `FromStr`, so that a runner's id can't be passed where
//! an organisation's is expected, and so that a malformed id is rejected where it enters the system.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest identifier accepted, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// An identifier that can't be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The text is empty or too long.
    #[snafu(display("an id has 1 to {MAX_ID_BYTES} bytes, this one has {bytes}"))]
    Length {
        /// Size of the rejected text, in bytes.
        bytes: usize,
    },
    /// The text holds a character outside the accepted set.
    #[snafu(display("{text:?} holds {found:?}; allowed are letters, digits and . _ - @ / :"))]
    Character {
        /// The rejected text.
        text: String,
        /// The first character that is not allowed.
        found: char,
    },
    /// A version id lacks its model or its version part.
    #[snafu(display("{text:?} is not of the form model@version"))]
    Version {
        /// The rejected text.
        text: String,
    },
}

fn check_text(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return LengthSnafu { bytes: text.len() }.fail();
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-@/:".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => CharacterSnafu { text, found }.fail(),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The id as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check_text(&text)?;
                Ok(Self(text))
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::try_from(text.to_owned())
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

text_id!(
    /// A process of this system.
    InstanceId
);
text_id!(
    /// A back end: a model engine or a plain service.
    RunnerId
);
text_id!(
    /// An availability zone.
    ZoneId
);
text_id!(
    /// A customer of the platform.
    OrgId
);
text_id!(
    /// A branch of the settings tree.
    BranchId
);
text_id!(
    /// A model, without its version.
    ModelId
);
text_id!(
    /// A plain service behind the router.
    ServiceId
);
text_id!(
    /// A process that answers requests of one service: a model engine or a plain application.
    UpstreamId
);
text_id!(
    /// A route from a host and a path prefix to services.
    RouteId
);
text_id!(
    /// A version of the software or weights that a service's upstreams run.
    ReleaseId
);
text_id!(
    /// A part of a prompt that several requests may share.
    PartId
);
text_id!(
    /// A caller's request, the same for each time it is sent.
    RequestId
);
text_id!(
    /// One try of one request at one runner.
    AttemptId
);
text_id!(
    /// A conversation that stays on one version.
    SessionId
);
text_id!(
    /// An operator's change; makes a repeated change apply once.
    ChangeId
);
text_id!(
    /// A key shared between processes.
    KeyId
);

number_id!(
    /// Position in the sequence of accepted configuration changes.
    Revision
);
number_id!(
    /// Number that grows with each new holder of a lease.
    Fence
);
number_id!(
    /// Start of a process, in milliseconds since the Unix epoch; grows with each restart.
    Incarnation
);
number_id!(
    /// Reservation of one place at one runner by one incarnation of its sidecar.
    Permit
);

/// A version of a model, written `model@version`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct VersionId {
    text: String,
    split: usize,
}

impl VersionId {
    /// The whole id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Name of the model, without the version.
    #[must_use]
    pub fn model(&self) -> &str {
        &self.text[..self.split]
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl TryFrom<String> for VersionId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        check_text(&text)?;
        match text.find('@') {
            Some(split) if split > 0 && split + 1 < text.len() => Ok(Self { text, split }),
            _ => VersionSnafu { text }.fail(),
        }
    }
}

impl FromStr for VersionId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        Self::try_from(text.to_owned())
    }
}

impl From<VersionId> for String {
    fn from(id: VersionId) -> Self {
        id.text
    }
}
