//! Counters and latency histograms of a gateway, by organisation and route.

use std::time::Duration;

use bluebell_core::ids::{OrgId, RouteId, ServiceId};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::{
    error::DaemonError,
    metrics::{Exporter, Outcome, latency},
};

/// Instruments of a gateway.
pub struct GatewayMetrics {
    exporter: Exporter,
    requests: Counter<u64>,
    total: Histogram<f64>,
    first: Histogram<f64>,
    retries: Counter<u64>,
    escalations: Counter<u64>,
    ends: Counter<u64>,
    held: Counter<u64>,
    poison: Gauge<u64>,
    budget: Gauge<f64>,
    declared: Gauge<u64>,
    upstreams: Gauge<u64>,
    peers: Gauge<u64>,
    beliefs: Gauge<f64>,
}

impl GatewayMetrics {
    /// Sets up the instruments.
    ///
    /// # Errors
    /// When the exporter can't be set up.
    pub fn new() -> Result<Self, DaemonError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let counter = |name: &'static str, about: &'static str| meter.u64_counter(name).with_description(about).build();
        let gauge = |name: &'static str, about: &'static str| meter.u64_gauge(name).with_description(about).build();
        Ok(Self {
            requests: counter("bluebell_requests", "Requests by how they ended"),
            total: latency(&meter, "bluebell_request_time", "Time from arrival to the end of the answer"),
            first: latency(&meter, "bluebell_first_event_time", "Time from arrival to the first event"),
            retries: counter("bluebell_retries", "Sends after a failure"),
            escalations: counter("bluebell_escalations", "Answers dropped for a larger model's"),
            ends: counter("bluebell_upstream_ends", "Upstreams that ended with requests of this gateway under way"),
            held: counter("bluebell_held_requests", "Requests held back since upstreams end under them"),
            poison: gauge("bluebell_poison_requests", "Requests known to end upstreams"),
            budget: meter.f64_gauge("bluebell_retry_budget_left").with_description("Sends left in the window").build(),
            declared: gauge("bluebell_declared_version", "Version of the declarations in force"),
            upstreams: gauge("bluebell_upstreams", "Upstreams that take new work"),
            peers: gauge("bluebell_peers", "Gateways that share the retry budget, this one included"),
            beliefs: meter
                .f64_gauge("bluebell_beliefs_age")
                .with_unit("s")
                .with_description("Time since the store was last heard of")
                .build(),
            exporter,
        })
    }

    /// Counts a request that ended.
    pub fn request(&self, organisation: Option<&OrgId>, route: &RouteId, outcome: Outcome, took: Duration) {
        let labels = labels(organisation, route);
        self.total.record(took.as_secs_f64(), &labels);
        let [organisation, route] = labels;
        self.requests.add(1, &[organisation, route, KeyValue::new("outcome", outcome.name())]);
    }

    /// Records the time to a first event.
    pub fn first_event(&self, organisation: Option<&OrgId>, route: &RouteId, took: Duration) {
        self.first.record(took.as_secs_f64(), &labels(organisation, route));
    }

    /// Counts a send after a failure.
    pub fn retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts an answer dropped for a larger model's.
    pub fn escalation(&self) {
        self.escalations.add(1, &[]);
    }

    /// Counts an upstream that ended.
    pub fn upstream_ended(&self, service: &str, planned: bool) {
        self.ends.add(1, &[KeyValue::new("service", service.to_owned()), KeyValue::new("planned", planned)]);
    }

    /// Counts a request that was held back.
    pub fn held(&self) {
        self.held.add(1, &[]);
    }

    /// Shows how many requests are known to end upstreams.
    pub fn set_poison(&self, count: usize) {
        self.poison.record(count as u64, &[]);
    }

    /// Shows what is left of a service's retry budget.
    pub fn set_budget(&self, service: &ServiceId, left: f64) {
        self.budget.record(left, &[KeyValue::new("service", service.to_string())]);
    }

    /// Shows the version of the declarations in force.
    pub fn set_declared(&self, version: u64) {
        self.declared.record(version, &[]);
    }

    /// Shows how many upstreams of a service take new work.
    pub fn set_upstreams(&self, service: &ServiceId, count: usize) {
        self.upstreams.record(count as u64, &[KeyValue::new("service", service.to_string())]);
    }

    /// Shows how many gateways share the budget, and the age of the beliefs.
    pub fn set_beliefs(&self, entries: usize, age: Duration) {
        self.peers.record(entries as u64, &[]);
        self.beliefs.record(age.as_secs_f64(), &[]);
    }

    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        self.exporter.text()
    }
}

fn labels(organisation: Option<&OrgId>, route: &RouteId) -> [KeyValue; 2] {
    let organisation = organisation.map_or("", OrgId::as_str).to_owned();
    [KeyValue::new("organisation", organisation), KeyValue::new("route", route.to_string())]
}
