//! Which callers send, and how often.

use rand::Rng;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    args::LoadOptions,
    error::{FileSnafu, ScenarioSnafu, StandinError},
};

/// One kind of caller.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name in the report.
    pub name: String,
    /// Key of the organisation.
    pub key: String,
    /// Share of the requests, relative to the others.
    pub weight: f64,
    /// Rank, if the caller names one.
    #[serde(default)]
    pub priority: Option<String>,
    /// Model field of the requests.
    #[serde(default = "any_model")]
    pub model: String,
    /// Tokens to ask for.
    pub tokens: u64,
    /// Ask for streamed answers.
    #[serde(default)]
    pub stream: bool,
}

fn any_model() -> String {
    "auto".to_owned()
}

/// All callers of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Mix {
    callers: Vec<Caller>,
}

impl Mix {
    /// Reads the mix, or makes one of the single caller of the command line.
    pub fn load(options: &LoadOptions) -> Result<Self, StandinError> {
        if let Some(path) = &options.mix {
            let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
            return serde_json::from_str(&text).context(ScenarioSnafu);
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

    /// Picks a caller by weight.
    pub fn pick(&self, random: &mut impl Rng) -> &Caller {
        let total: f64 = self.callers.iter().map(|caller| caller.weight).sum();
        let mut at = random.random::<f64>() * total;
        for caller in &self.callers {
            at -= caller.weight;
            if at < 0.0 {
                return caller;
            }
        }
        &self.callers[self.callers.len() - 1]
    }
}
