//! Shared keys with which processes authenticate to each other, and the signatures made with them.
//!
//! A key ring has one active key, which signs, and further keys whose signatures are still accepted. Keys are rotated
//! without interrupting traffic in three steps: add the new key on all processes, make it active, remove the old one.

use std::time::Duration;

use hmac::{Hmac, Mac};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::ids::{InstanceId, KeyId};

/// Maximum difference between the timestamp of a peer's token and the local time.
pub const TOKEN_LIFETIME: Duration = Duration::from_secs(120);

/// Minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

type Mac256 = Hmac<Sha256>;

/// Why a key, a signature or a token is rejected.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// The key is not hexadecimal.
    #[snafu(display("key {id} is not hexadecimal"))]
    Hex {
        /// The key.
        id: KeyId,
        /// Cause.
        source: hex::FromHexError,
    },
    /// The key is too short.
    #[snafu(display("key {id} has fewer than {MIN_KEY_BYTES} bytes"))]
    Short {
        /// The key.
        id: KeyId,
    },
    /// The key is not in the key ring.
    #[snafu(display("no key {id} is known here"))]
    Unknown {
        /// The key.
        id: String,
    },
    /// The token doesn't have the expected format.
    #[snafu(display("the token is malformed"))]
    Malformed,
    /// The signature doesn't match.
    #[snafu(display("the token's signature doesn't match"))]
    BadSignature,
    /// The token is too old, or was made by a clock that is too far ahead.
    #[snafu(display(
        "the token's timestamp differs from the local time by more than {} s",
        TOKEN_LIFETIME.as_secs()
    ))]
    TimestampOutOfRange,
}

/// Keys in a settings file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Id of the key that signs.
    pub active: KeyId,
    /// All keys whose signatures are accepted, in hexadecimal, by id. Has to contain the active key.
    pub known: IndexMap<KeyId, String>,
}

/// Decoded keys, ready for signing and verifying.
#[derive(Debug, Clone)]
pub struct KeyRing {
    active: KeyId,
    known: IndexMap<KeyId, Vec<u8>>,
}

impl KeyRing {
    /// Decodes the keys of a settings file.
    ///
    /// # Errors
    /// When a key is not hexadecimal or is too short, or the active key is missing.
    pub fn new(settings: &KeySettings) -> Result<Self, KeyError> {
        let mut known = IndexMap::new();
        for (id, text) in &settings.known {
            let key = hex::decode(text).context(HexSnafu { id: id.clone() })?;
            ensure!(key.len() >= MIN_KEY_BYTES, ShortSnafu { id: id.clone() });
            known.insert(id.clone(), key);
        }
        let active = settings.active.clone();
        ensure!(known.contains_key(&active), UnknownSnafu { id: active.as_str() });
        Ok(Self { active, known })
    }

    /// Signs a text with the active key and returns `{key id}:{signature}`.
    #[must_use]
    pub fn sign(&self, text: &str) -> String {
        let tag = mac(&self.known[&self.active], text).finalize().into_bytes();
        format!("{}:{}", self.active, hex::encode(tag))
    }

    /// Verifies a signature made by [`KeyRing::sign`].
    ///
    /// # Errors
    /// When the key is unknown, or the signature is malformed or wrong.
    pub fn verify(&self, text: &str, signature: &str) -> Result<(), KeyError> {
        let (id, tag) = signature.rsplit_once(':').context(MalformedSnafu)?;
        let key = self.known.get(&id.parse::<KeyId>().ok().context(MalformedSnafu)?);
        let key = key.context(UnknownSnafu { id })?;
        let tag = hex::decode(tag).ok().context(MalformedSnafu)?;
        mac(key, text).verify_slice(&tag).ok().context(BadSignatureSnafu)
    }

    /// Creates a token with which an instance authenticates to its peers for [`TOKEN_LIFETIME`].
    #[must_use]
    pub fn token(&self, instance: &InstanceId, since_epoch: Duration) -> String {
        let text = format!("{instance} {}", since_epoch.as_secs());
        format!("{text} {}", self.sign(&text))
    }

    /// Verifies a peer's token and returns the instance that made it.
    ///
    /// # Errors
    /// When the token is malformed, its key is unknown, its signature is wrong, or its timestamp differs too much from
    /// `since_epoch`.
    pub fn check_token(&self, token: &str, since_epoch: Duration) -> Result<InstanceId, KeyError> {
        let (text, signature) = token.rsplit_once(' ').context(MalformedSnafu)?;
        self.verify(text, signature)?;
        let (instance, made) = text.split_once(' ').context(MalformedSnafu)?;
        let made: u64 = made.parse().ok().context(MalformedSnafu)?;
        ensure!(made.abs_diff(since_epoch.as_secs()) <= TOKEN_LIFETIME.as_secs(), TimestampOutOfRangeSnafu);
        instance.parse().ok().context(MalformedSnafu)
    }
}

fn mac(key: &[u8], text: &str) -> Mac256 {
    let mut mac = <Mac256 as Mac>::new_from_slice(key).unwrap_or_else(|_| unreachable!("any key length is accepted"));
    mac.update(text.as_bytes());
    mac
}

/// SHA-256 of a text, in hexadecimal. The settings contain API keys only in this form.
#[must_use]
pub fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}
