//! Keys that prove one process to another, and signatures made with them.
//!
//! A ring holds one active key, with which tokens are signed, and the other keys whose tokens are still accepted.
//! Keys rotate in three steps without a pause in traffic: add the new one everywhere, make it active, remove the old.

use std::time::Duration;

use hmac::{Hmac, Mac};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::ids::{InstanceId, KeyId};

/// Age up to which a peer's token is accepted.
pub const TOKEN_LIFE: Duration = Duration::from_secs(120);

/// Shortest key accepted, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

type Mac256 = Hmac<Sha256>;

/// A key or a token that can't be accepted.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// The key is not hexadecimal.
    #[snafu(display("key {id} is not hexadecimal"))]
    Hex {
        /// The key.
        id: KeyId,
        /// What the decoder said.
        source: hex::FromHexError,
    },
    /// The key is too short.
    #[snafu(display("key {id} has fewer than {MIN_KEY_BYTES} bytes"))]
    Short {
        /// The key.
        id: KeyId,
    },
    /// The key is not in the ring.
    #[snafu(display("no key {id} is known here"))]
    Unknown {
        /// The key.
        id: String,
    },
    /// The token is not of the expected form.
    #[snafu(display("the token is malformed"))]
    Malformed,
    /// The signature doesn't match.
    #[snafu(display("the token's signature doesn't match"))]
    Forged,
    /// The token was made too long ago, or by a clock far ahead.
    #[snafu(display("the token is outside its time"))]
    Stale,
}

/// Keys as they stand in a settings file: hexadecimal text by id.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Key that signs.
    pub active: KeyId,
    /// Keys whose signatures are accepted, in hexadecimal.
    pub known: IndexMap<KeyId, String>,
}

/// Keys ready for use.
#[derive(Debug, Clone)]
pub struct KeyRing {
    active: KeyId,
    known: IndexMap<KeyId, Vec<u8>>,
}

impl KeyRing {
    /// Decodes the keys of a settings file.
    ///
    /// # Errors
    /// When a key is not hexadecimal or too short, or the active one is missing.
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

    /// Signs a text with the active key; gives `key id:signature`.
    #[must_use]
    pub fn sign(&self, text: &str) -> String {
        let tag = mac(&self.known[&self.active], text).finalize().into_bytes();
        format!("{}:{}", self.active, hex::encode(tag))
    }

    /// Checks a signature made by [`KeyRing::sign`].
    ///
    /// # Errors
    /// When the key is unknown, or the signature is malformed or wrong.
    pub fn verify(&self, text: &str, signature: &str) -> Result<(), KeyError> {
        let (id, tag) = signature.rsplit_once(':').context(MalformedSnafu)?;
        let key = self.known.get(&id.parse::<KeyId>().ok().context(MalformedSnafu)?);
        let key = key.context(UnknownSnafu { id })?;
        let tag = hex::decode(tag).ok().context(MalformedSnafu)?;
        mac(key, text).verify_slice(&tag).ok().context(ForgedSnafu)
    }

    /// Makes a token that proves an instance to its peers for [`TOKEN_LIFE`].
    #[must_use]
    pub fn token(&self, instance: &InstanceId, since_epoch: Duration) -> String {
        let text = format!("{instance} {}", since_epoch.as_secs());
        format!("{text} {}", self.sign(&text))
    }

    /// Checks a peer's token and gives the instance that made it.
    ///
    /// # Errors
    /// When the token is malformed, forged or outside its time.
    pub fn check_token(&self, token: &str, since_epoch: Duration) -> Result<InstanceId, KeyError> {
        let (text, signature) = token.rsplit_once(' ').context(MalformedSnafu)?;
        self.verify(text, signature)?;
        let (instance, made) = text.split_once(' ').context(MalformedSnafu)?;
        let made: u64 = made.parse().ok().context(MalformedSnafu)?;
        ensure!(made.abs_diff(since_epoch.as_secs()) <= TOKEN_LIFE.as_secs(), StaleSnafu);
        instance.parse().ok().context(MalformedSnafu)
    }
}

fn mac(key: &[u8], text: &str) -> Mac256 {
    let mut mac = <Mac256 as Mac>::new_from_slice(key).unwrap_or_else(|_| unreachable!("any key length is accepted"));
    mac.update(text.as_bytes());
    mac
}

/// Hash under which an organisation's key stands in the settings, in hexadecimal.
#[must_use]
pub fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}
