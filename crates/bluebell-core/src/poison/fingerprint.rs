//! Fingerprints, by which repeats of a request, and requests with a common prompt part, are recognised.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::ids::{OrgId, PartId, ServiceId};

/// Size of a fingerprint, in bytes.
const FINGERPRINT_BYTES: usize = 16;
/// First bytes of the fingerprint of a prompt part. A request's fingerprint starts with them once in four billion.
const PART_MARKER: [u8; 4] = *b"part";

/// Digest of a request's path, organisation and body, or of a part of its prompt. It is the same for all repeats of a
/// request, or for all requests with that part, and doesn't reveal its contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// A text that can't be parsed as a fingerprint.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{text:?} is not a fingerprint: {source}"))]
pub struct FingerprintError {
    /// The rejected text.
    text: String,
    /// Error of the hexadecimal decoder.
    source: hex::FromHexError,
}

impl Fingerprint {
    /// Computes the fingerprint of a request; `path` includes the query.
    #[must_use]
    pub fn of(path: &str, organisation: Option<&OrgId>, body: &[u8]) -> Self {
        let organisation = organisation.map_or("", OrgId::as_str);
        Self::digest([path.as_bytes(), organisation.as_bytes(), body])
    }

    /// Computes the fingerprint of a prompt part, as processed by a service.
    #[must_use]
    pub fn of_part(service: &ServiceId, part: &PartId) -> Self {
        let mut fingerprint = Self::digest([&PART_MARKER, service.as_str().as_bytes(), part.as_str().as_bytes()]);
        fingerprint.0[..PART_MARKER.len()].copy_from_slice(&PART_MARKER);
        fingerprint
    }

    /// Whether it belongs to a prompt part, not to a request.
    #[must_use]
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART_MARKER)
    }

    fn digest(fields: [&[u8]; 3]) -> Self {
        let mut digest = Sha256::new();
        // The length prefixes keep different splits of the same bytes into fields from having the same digest.
        for field in fields {
            digest.update((field.len() as u64).to_le_bytes());
            digest.update(field);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        match hex::decode_to_slice(text, &mut bytes) {
            Ok(()) => Ok(Self(bytes)),
            Err(source) => Err(FingerprintError { text: text.to_owned(), source }),
        }
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = FingerprintError;

    fn try_from(text: String) -> Result<Self, FingerprintError> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}
