//! Metrics by opentelemetry, shown in the Prometheus text format; histograms for each organisation and rank.

use std::time::Duration;

use bluebell_core::{ids::OrgId, units::Priority};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::error::{DaemonError, MetricsSnafu};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5.0, 10.0];

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was given.
    Served,
    /// It was refused and did not run.
    Refused,
    /// It failed after it may have run.
    Failed,
    /// The caller went away.
    Abandoned,
}

impl Outcome {
    /// Its name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Abandoned => "abandoned",
        }
    }
}

/// Shows what the instruments of one process hold.
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// An exporter without instruments.
    ///
    /// # Errors
    /// When it can't be set up.
    pub fn new() -> Result<Self, DaemonError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.map_err(|error| MetricsSnafu { reason: error.to_string() }.build())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Makes instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("bluebellstack")
    }

    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::warn!("metrics can't be shown: {error}");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// A histogram of latencies.
#[must_use]
pub fn latency(meter: &Meter, name: &'static str, about: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_unit("s").with_description(about);
    builder.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
}

/// Instruments of one process.
pub struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    total: Histogram<f64>,
    first: Histogram<f64>,
    retries: Counter<u64>,
    revision: Gauge<u64>,
    unbilled: Gauge<u64>,
}

impl Metrics {
    /// Sets up the instruments.
    ///
    /// # Errors
    /// When the exporter can't be set up.
    pub fn new() -> Result<Self, DaemonError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        Ok(Self {
            requests: meter.u64_counter("bluebell_requests").with_description("Requests by how they ended").build(),
            total: latency(&meter, "bluebell_request_time", "Time from arrival to the end of the answer"),
            first: latency(&meter, "bluebell_first_token_time", "Time from arrival to the first token"),
            retries: meter.u64_counter("bluebell_retries").with_description("Attempts after the first").build(),
            revision: meter.u64_gauge("bluebell_revision").with_description("Settings revision in force").build(),
            unbilled: meter.u64_gauge("bluebell_unbilled").with_description("Billing rows not yet stored").build(),
            exporter,
        })
    }

    /// Counts a request that ended.
    pub fn request(&self, org: &OrgId, priority: Priority, outcome: Outcome, took: Duration) {
        let labels = labels(org, priority);
        self.total.record(took.as_secs_f64(), &labels);
        let [org, priority] = labels;
        self.requests.add(1, &[org, priority, KeyValue::new("outcome", outcome.name())]);
    }

    /// Records the time to a first token.
    pub fn first_token(&self, org: &OrgId, priority: Priority, took: Duration) {
        self.first.record(took.as_secs_f64(), &labels(org, priority));
    }

    /// Counts an attempt after the first.
    pub fn retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Shows the settings revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Shows the number of billing rows not yet stored.
    pub fn set_unbilled(&self, rows: usize) {
        self.unbilled.record(rows as u64, &[]);
    }

    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        self.exporter.text()
    }
}

fn labels(org: &OrgId, priority: Priority) -> [KeyValue; 2] {
    [KeyValue::new("organisation", org.to_string()), KeyValue::new("priority", priority.to_string())]
}
