//! Typed identifiers used in messages, settings and stored rows.
//!
//! Each is a newtype over text or a number with `Display` and `FromStr`, so that the compiler rejects a runner id where
//! an organisation id is expected, and a malformed id is rejected where it enters the system.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Why an identifier is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The text is empty or too long.
    #[snafu(display("an id has 1 to {MAX_ID_BYTES} bytes, this one has {bytes}"))]
    Length {
        /// Length of the rejected text, in bytes.
        bytes: usize,
    },
    /// The text contains a character that is not allowed.
    #[snafu(display("{text:?} holds {found:?}; allowed are letters, digits and . _ - @ / :"))]
    Character {
        /// The rejected text.
        text: String,
        /// The first character that is not allowed.
        found: char,
    },
    /// A version id has no model part or no version part.
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
            /// The next number, or the same one if it is the highest.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
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
    /// A process of the router: an entry, a sidecar or a gateway.
    InstanceId
);
text_id!(
    /// A runner: an upstream (model engine or plain service) that has a sidecar.
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
    /// A service behind the router.
    ServiceId
);
text_id!(
    /// An upstream: a process that answers requests of one service, such as a model engine or a plain application.
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
    /// A part of a prompt that may be shared by several requests.
    PartId
);
text_id!(
    /// A caller's request. Retries by the router keep the id; a caller may repeat a request under a new one.
    RequestId
);
text_id!(
    /// One attempt at sending a request to a runner.
    AttemptId
);
text_id!(
    /// A session, whose requests all go to the same model version.
    SessionId
);
text_id!(
    /// A change to the settings by an operator; a change that is submitted twice is applied once.
    ChangeId
);
text_id!(
    /// A signing key shared between processes.
    KeyId
);

number_id!(
    /// Revision of the settings: position in the sequence of accepted changes.
    Revision
);
number_id!(
    /// Fencing token of a lease; increases with each change of holder.
    FencingToken
);
number_id!(
    /// Start time of a process in milliseconds since the Unix epoch, which increases with each restart.
    Incarnation
);
number_id!(
    /// Number of a slot reservation at a runner, unique within one incarnation of its sidecar.
    Permit
);

/// A version of a model, written `model@version`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct VersionId {
    text: String,
    // Byte index of the first `@`.
    split: usize,
}

impl VersionId {
    /// The id as text, `model@version`.
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
