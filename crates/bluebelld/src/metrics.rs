//! Metrics, recorded with OpenTelemetry and exported in the Prometheus text format. Latency histograms are kept per
//! organisation and priority.

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

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was sent.
    Served,
    /// The request was refused and did not run.
    Refused,
    /// The request failed, and may have run.
    Failed,
    /// The caller disconnected.
    Abandoned,
}

impl Outcome {
    /// Value of the label `outcome`.
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

/// Registry and exporter of the metrics of one process.
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter without instruments.
    ///
    /// # Errors
    /// When the exporter can't be set up.
    pub fn new() -> Result<Self, DaemonError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.map_err(|error| MetricsSnafu { reason: error.to_string() }.build())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter with which instruments are created.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("bluebellstack")
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::warn!("encoding metrics failed: {error}");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Creates a latency histogram.
#[must_use]
pub fn latency(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_unit("s").with_description(description);
    builder.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
}

/// Metrics of an entry or sidecar.
pub struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    request_time: Histogram<f64>,
    first_token_time: Histogram<f64>,
    retries: Counter<u64>,
    revision: Gauge<u64>,
    unbilled: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// When the exporter can't be set up.
    pub fn new() -> Result<Self, DaemonError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        Ok(Self {
            requests: meter.u64_counter("bluebell_requests").with_description("Requests by how they ended").build(),
            request_time: latency(&meter, "bluebell_request_time", "Time from arrival to the end of the answer"),
            first_token_time: latency(&meter, "bluebell_first_token_time", "Time from arrival to the first token"),
            retries: meter.u64_counter("bluebell_retries").with_description("Attempts after the first").build(),
            revision: meter.u64_gauge("bluebell_revision").with_description("Settings revision in force").build(),
            unbilled: meter.u64_gauge("bluebell_unbilled").with_description("Billing rows not yet stored").build(),
            exporter,
        })
    }

    /// Records a request that ended.
    pub fn record_request(&self, org: &OrgId, priority: Priority, outcome: Outcome, elapsed: Duration) {
        let labels = labels(org, priority);
        self.request_time.record(elapsed.as_secs_f64(), &labels);
        let [org, priority] = labels;
        self.requests.add(1, &[org, priority, KeyValue::new("outcome", outcome.name())]);
    }

    /// Records the time from a request's arrival to its first token.
    pub fn record_first_token(&self, org: &OrgId, priority: Priority, elapsed: Duration) {
        self.first_token_time.record(elapsed.as_secs_f64(), &labels(org, priority));
    }

    /// Counts an attempt after the first.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Sets the settings revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Sets the number of billing rows that are not stored yet.
    pub fn set_unbilled(&self, rows: usize) {
        self.unbilled.record(rows as u64, &[]);
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        self.exporter.text()
    }
}

fn labels(org: &OrgId, priority: Priority) -> [KeyValue; 2] {
    [KeyValue::new("organisation", org.to_string()), KeyValue::new("priority", priority.to_string())]
}
