//! Upstreams that ended, and what was under way there.

use bluebell_core::{canary::Split, poison::Ended};

use super::state::Control;

impl Control {
    /// Takes upstreams that ended since the last look.
    pub(super) fn take_ended(&mut self) {
        let now = self.gateway.now();
        let ended = self.gateway.traffic().flights.take_ended(now);
        for one in ended {
            let planned = self.is_replaced(&one);
            self.log_end(&one, planned);
        }
    }

    // A release that a completed roll-out replaced is stopped with what it still runs.
    fn is_replaced(&self, ended: &Ended) -> bool {
        let Some(upstream) = self.upstreams.get(&ended.incarnation.upstream) else { return false };
        let beliefs = self.gateway.beliefs.load();
        matches!(beliefs.split(&upstream.service), Split::Only(to) if *to != upstream.release)
    }

    fn log_end(&self, ended: &Ended, planned: bool) {
        let upstream = self.upstreams.get(&ended.incarnation.upstream);
        let service = upstream.map_or("", |upstream| upstream.service.as_str());
        let suspects: Vec<String> = ended.suspects.iter().map(ToString::to_string).collect();
        self.gateway.metrics.upstream_ended(service, planned);
        log::warn!(
            upstream = ended.incarnation.upstream.as_str(), born = ended.incarnation.born, service = service,
            release = upstream.map_or("", |upstream| upstream.release.as_str()),
            sign = ended.sign.to_string().as_str(), planned = planned, under_way = ended.suspects.len(),
            requests = suspects.join(" ").as_str();
            "upstream ended"
        );
    }
}
