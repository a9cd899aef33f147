//! The mix of callers of a load run and their shares of the requests.

use rand::Rng;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    args::LoadOptions,
    error::{FileSnafu, MixSnafu, StandinError},
};

/// One kind of caller in the mix.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name under which the report lists it.
    pub name: String,
    /// API key of its organisation.
    pub key: String,
    /// Share of the requests, relative to the weights of the other callers.
    pub weight: f64,
    /// Value of the `x-priority` header, if it is sent.
    #[serde(default)]
    pub priority: Option<String>,
    /// Value of the requests' `model` field.
    #[serde(default = "any_model")]
    pub model: String,
    /// Requested number of tokens (`max_tokens`).
    pub tokens: u64,
    /// Whether to request streamed answers.
    #[serde(default)]
    pub stream: bool,
}

fn any_model() -> String {
    "auto".to_owned()
}

/// All callers of a load run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Mix {
    callers: Vec<Caller>,
}

impl Mix {
    /// Reads the mix from the file, or creates one with the single caller that the command line describes.
    pub fn load(options: &LoadOptions) -> Result<Self, StandinError> {
        if let Some(path) = &options.mix {
            let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
            return serde_json::from_str(&text).context(MixSnafu);
        }
        let caller = Caller {
            name: "all".to_owned(),
            key: options.key.clone(),
            weight: 1.0,
            priority: None,
            model: any_model(),
            tokens: options.tokens,
            stream: options.stream,
        };
        Ok(Self { callers: vec![caller] })
    }

    /// Picks a caller at random, by weight.
    pub fn pick(&self, random: &mut impl Rng) -> &Caller {
        let total: f64 = self.callers.iter().map(|caller| caller.weight).sum();
        let mut remaining = random.random::<f64>() * total;
        for caller in &self.callers {
            remaining -= caller.weight;
            if remaining < 0.0 {
                return caller;
            }
        }
        &self.callers[self.callers.len() - 1]
    }
}
