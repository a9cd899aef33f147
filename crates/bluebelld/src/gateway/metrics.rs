//! Metrics of a gateway; request counts and latencies are labelled by organisation and route.

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

/// Upper bounds of the histogram of relative speeds.
const SPEED_BOUNDARIES: [f64; 8] = [0.2, 0.4, 0.6, 0.8, 1.0, 1.25, 1.6, 2.5];

/// Metric instruments of a gateway.
pub struct GatewayMetrics {
    exporter: Exporter,
    requests: Counter<u64>,
    request_time: Histogram<f64>,
    first_event_time: Histogram<f64>,
    retries: Counter<u64>,
    escalations: Counter<u64>,
    upstream_ends: Counter<u64>,
    departures: Counter<u64>,
    pauses: Counter<u64>,
    limits: Counter<u64>,
    caller_limits: Counter<u64>,
    caller_connections: Gauge<u64>,
    body_bytes: Gauge<u64>,
    ramps: Counter<u64>,
    ramping: Gauge<u64>,
    blocked_requests: Counter<u64>,
    poison_requests: Gauge<u64>,
    poison_parts: Gauge<u64>,
    retry_budget: Gauge<f64>,
    declared_version: Gauge<u64>,
    upstreams: Gauge<u64>,
    evacuated: Gauge<u64>,
    cold: Gauge<u64>,
    peers: Gauge<u64>,
    store_contact_age: Gauge<f64>,
    chosen_speed: Histogram<f64>,
    reads: Gauge<u64>,
    control_wait: Gauge<f64>,
    control_time: Counter<f64>,
    lags: Counter<u64>,
}

impl GatewayMetrics {
    /// Creates the instruments and their exporter.
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
            request_time: latency(&meter, "bluebell_request_time", "Time from arrival to the end of the answer"),
            first_event_time: latency(&meter, "bluebell_first_event_time", "Time from arrival to the first event"),
            retries: counter("bluebell_retries", "Sends after a failure"),
            escalations: counter("bluebell_escalations", "Answers dropped for a larger model's"),
            upstream_ends: counter(
                "bluebell_upstream_ends",
                "Upstreams that ended with requests of this gateway under way",
            ),
            departures: counter(
                "bluebell_upstream_departures",
                "Upstreams that announced their departure to this gateway",
            ),
            pauses: counter("bluebell_upstream_pauses", "Pauses that upstreams asked this gateway for"),
            limits: counter("bluebell_upstream_limits", "Rate limits that upstreams named to this gateway"),
            caller_connections: gauge("bluebell_caller_connections", "Open connections of callers"),
            body_bytes: gauge("bluebell_body_bytes", "Bytes of request bodies that count towards their total"),
            caller_limits: counter("bluebell_caller_limits", "Callers that exceeded a limit, by cause"),
            ramps: counter("bluebell_ramp_ups", "Ramp-ups of upstreams that began at this gateway"),
            ramping: gauge("bluebell_ramping_upstreams", "Upstreams whose requests a ramp-up limits"),
            blocked_requests: counter("bluebell_held_requests", "Requests held back since upstreams end under them"),
            poison_requests: gauge("bluebell_poison_requests", "Requests known to end upstreams"),
            poison_parts: gauge("bluebell_poison_parts", "Prompt parts known to crash upstreams"),
            retry_budget: meter
                .f64_gauge("bluebell_retry_budget_left")
                .with_description("Sends left in the window")
                .build(),
            declared_version: gauge("bluebell_declared_version", "Version of the declarations in force"),
            upstreams: gauge("bluebell_upstreams", "Upstreams that take new work"),
            evacuated: gauge("bluebell_evacuated_zones", "Zones whose upstreams get no new requests"),
            cold: gauge("bluebell_cold_upstreams", "Upstreams with a rate limit because they are cold"),
            peers: gauge("bluebell_peers", "Gateways that share the retry budget, this one included"),
            store_contact_age: meter
                .f64_gauge("bluebell_beliefs_age")
                .with_unit("s")
                .with_description("Time since the store was last heard of")
                .build(),
            chosen_speed: meter
                .f64_histogram("bluebell_chosen_speed")
                .with_description("Speed of upstreams that answered, relative to the usual one of their service")
                .with_boundaries(SPEED_BOUNDARIES.to_vec())
                .build(),
            reads: gauge("bluebell_reads_store", "Whether this gateway reads the store's change feeds by long polls"),
            control_wait: meter
                .f64_gauge("bluebell_control_wait")
                .with_unit("s")
                .with_description("Longest time in the last second for which an event waited for the control thread")
                .build(),
            control_time: meter
                .f64_counter("bluebell_control_time")
                .with_unit("s")
                .with_description("Time that the control thread spent, by kind of work")
                .build(),
            lags: counter("bluebell_lags", "Rows that a peer knew and that did not arrive in time"),
            exporter,
        })
    }

    /// Counts a finished request and records the time that it took.
    pub fn record_request(&self, organisation: Option<&OrgId>, route: &RouteId, outcome: Outcome, took: Duration) {
        let labels = labels(organisation, route);
        self.request_time.record(took.as_secs_f64(), &labels);
        let [organisation, route] = labels;
        self.requests.add(1, &[organisation, route, KeyValue::new("outcome", outcome.name())]);
    }

    /// Records the time from a request's arrival to the first event of its answer.
    pub fn record_first_event(&self, organisation: Option<&OrgId>, route: &RouteId, took: Duration) {
        self.first_event_time.record(took.as_secs_f64(), &labels(organisation, route));
    }

    /// Records the speed of an upstream that was chosen for a request, relative to the usual one of its service.
    pub fn record_speed(&self, service: &str, speed: f64) {
        self.chosen_speed.record(speed, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a retry after a failed attempt.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts an answer that was discarded to let a larger model answer.
    pub fn record_escalation(&self) {
        self.escalations.add(1, &[]);
    }

    /// Counts an upstream that ended with requests of this gateway in flight: planned, or by a crash.
    pub fn record_upstream_end(&self, service: &str, planned: bool) {
        self.upstream_ends.add(1, &[KeyValue::new("service", service.to_owned()), KeyValue::new("planned", planned)]);
    }

    /// Counts an upstream that announced its departure.
    pub fn record_departure(&self, service: &str) {
        self.departures.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a pause that an upstream asked for.
    pub fn record_pause(&self, service: &str) {
        self.pauses.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a rate limit that an upstream named.
    pub fn record_limit(&self, service: &str) {
        self.limits.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Sets what is held for callers: open connections, and counted bytes of request bodies.
    pub fn set_callers(&self, connections: usize, body_bytes: usize) {
        self.caller_connections.record(connections as u64, &[]);
        self.body_bytes.record(body_bytes as u64, &[]);
    }

    /// Counts a caller that exceeded a limit.
    pub fn record_caller_limit(&self, cause: &'static str) {
        self.caller_limits.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a ramp-up that begins.
    pub fn record_ramp(&self, service: &str) {
        self.ramps.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Sets the number of a service's upstreams in ramp-up.
    pub fn set_ramping(&self, service: &ServiceId, count: usize) {
        self.ramping.record(count as u64, &[KeyValue::new("service", service.to_string())]);
    }

    /// Counts a request that was blocked because it is known to crash upstreams.
    pub fn record_blocked(&self) {
        self.blocked_requests.add(1, &[]);
    }

    /// Sets the numbers of requests and of prompt parts known to crash upstreams.
    pub fn set_poison(&self, requests: usize, parts: usize) {
        self.poison_requests.record(requests as u64, &[]);
        self.poison_parts.record(parts as u64, &[]);
    }

    /// Sets what is left of a service's retry budget.
    pub fn set_budget(&self, service: &ServiceId, left: f64) {
        self.retry_budget.record(left, &[KeyValue::new("service", service.to_string())]);
    }

    /// Sets the version of the declarations in force.
    pub fn set_declared(&self, version: u64) {
        self.declared_version.record(version, &[]);
    }

    /// Sets the number of a service's upstreams that accept new requests.
    pub fn set_upstreams(&self, service: &ServiceId, count: usize) {
        self.upstreams.record(count as u64, &[KeyValue::new("service", service.to_string())]);
    }

    /// Sets the number of evacuated zones.
    pub fn set_evacuated(&self, zones: usize) {
        self.evacuated.record(zones as u64, &[]);
    }

    /// Sets the number of upstreams that are taken for cold.
    pub fn set_cold(&self, upstreams: usize) {
        self.cold.record(upstreams as u64, &[]);
    }

    /// Sets whether this gateway reads the store's change feeds by long polls.
    pub fn set_reads(&self, reads: bool) {
        self.reads.record(u64::from(reads), &[]);
    }

    /// Sets the number of gateways that share the retry budget, and the time since the last contact with the store.
    pub fn set_peers_and_contact_age(&self, gateways: usize, contact_age: Duration) {
        self.peers.record(gateways as u64, &[]);
        self.store_contact_age.record(contact_age.as_secs_f64(), &[]);
    }

    /// Sets the longest time for which an event has waited for the control thread lately.
    pub fn set_control_wait(&self, wait: Duration) {
        self.control_wait.record(wait.as_secs_f64(), &[]);
    }

    /// Counts rows that a peer knows and that have not arrived here in time.
    pub fn record_lag(&self) {
        self.lags.add(1, &[]);
    }

    /// Adds to the time that the control thread has spent on a kind of work.
    pub fn record_control_time(&self, kind: &'static str, time: Duration) {
        self.control_time.add(time.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        self.exporter.text()
    }
}

fn labels(organisation: Option<&OrgId>, route: &RouteId) -> [KeyValue; 2] {
    let organisation = organisation.map_or("", OrgId::as_str).to_owned();
    [KeyValue::new("organisation", organisation), KeyValue::new("route", route.to_string())]
}
