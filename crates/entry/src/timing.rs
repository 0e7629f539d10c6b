//! Expected-time routing in the core: what is known of the targets' speed and work.

use std::collections::HashMap;

use cornelhitch_settings::process::Routing;
use cornelhitch_types::id::{HostId, Incarnation, TargetId, Time};
use cornelhitch_types::target::{LoadReport, Pace};

use crate::action::Action;
use crate::affinity;
use crate::busy_share::BusyShares;
use crate::core::Core;
use crate::event::{CallId, RequestedResource};
use crate::expected_time::{self, OTHER_REGION_MS, OTHER_ZONE_MS, Work};
use crate::fleet_view::Target;
use crate::long_prompt::LongPrompts;
use crate::pace::Paces;
use crate::peer_load::{PeerLoads, PeerReport, PeerRow, ReceivedReport};
use crate::peer_reporter::{self, PeerReporter};
use crate::prompt_speed::PromptSpeed;
use crate::request::Call;
use crate::route::{self, Candidate};
use crate::work_ahead::{Sent, WorkAhead};

/// Age at which a reported count of requests has half its weight, as a fraction of the mean response
/// time; the same as that of load routing.
const REPORT_HALF_LIFE: f64 = 0.1;

/// Trust in the shared part of a prompt at the targets that all hosts prefer for it, best first.
const PREFERENCE_TRUST: [f64; 5] = [0.9, 0.6, 0.4, 0.3, 0.2];

/// Factor on the expected cached prefix at other targets.
const ELSEWHERE_TRUST: f64 = 0.3;

/// Weight of a new request in the mean number of prompt tokens.
const MEAN_GAIN: f64 = 0.05;

/// What this host knows of the targets' speed and work. Unused, and empty, with load routing.
#[derive(Debug, Default)]
pub(crate) struct Timing {
    paces: Paces,
    speed: PromptSpeed,
    work: WorkAhead,
    peers: PeerLoads,
    busy: BusyShares,
    reporter: PeerReporter,
    /// Slots that targets state with their responses.
    slots: HashMap<TargetId, (Incarnation, u32)>,
    /// Mean number of prompt tokens that a request of this host brings to its target.
    mean_tokens: f64,
    /// Whether a target has stated its pace.
    pace_stated: bool,
    long_prompts: LongPrompts,
}

impl Core {
    /// Whether targets are chosen by the expected time.
    pub(crate) fn uses_expected_time(&self) -> bool {
        match self.config.serving.routing {
            Routing::Load => false,
            Routing::ExpectedTime => true,
            Routing::Auto => self.timing.pace_stated,
        }
    }

    /// Replaces the router at the first statement of a pace, if the settings say so.
    fn note_stated_pace(&mut self) {
        if self.config.serving.routing == Routing::Auto && !self.timing.pace_stated {
            self.timing.pace_stated = true;
            self.config.router = route::router(Routing::ExpectedTime, self.config.seed);
        }
    }

    /// Records what a target reported with a response.
    pub(crate) fn observe_report(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        report: LoadReport,
    ) {
        if report.pace.is_some() {
            self.note_stated_pace();
        }
        if !self.uses_expected_time() {
            return;
        }
        if let Some(pace) = report.pace {
            self.timing.paces.record_stated(target, pace, self.now);
        }
        if let Some(slots) = report.slots {
            let known = (incarnation, slots);
            self.timing.slots.insert(target.clone(), known);
        }
    }

    /// Returns the slots of a target: as it stated them last, else as control published them.
    pub(crate) fn slots(&self, target: &Target) -> Option<u32> {
        let view = &target.view;
        let stated = self.timing.slots.get(&view.target);
        let stated = stated.filter(|(incarnation, _)| *incarnation == view.incarnation);
        stated.map(|(_, slots)| *slots).or(view.slots)
    }

    /// Returns the round-trip time to a target in milliseconds, given what the settings say of its
    /// region.
    pub(crate) fn expected_distance_ms(&self, region_ms: f64, target: &Target) -> f64 {
        let (config, view) = (&self.config, &target.view);
        if view.region != config.region && region_ms <= 0.0 {
            return OTHER_REGION_MS;
        }
        let zone_ms = if view.zone == config.zone {
            0.0
        } else {
            OTHER_ZONE_MS
        };
        region_ms + zone_ms
    }

    /// Returns what is known of a candidate's work, for a request.
    pub(crate) fn work_at(&self, call: &Call, candidate: &Candidate) -> Work {
        let timing = &self.timing;
        let target = &candidate.place.target;
        let pace = timing.paces.ratio(target, self.now);
        let own = timing.work.at(target);
        let prompt_tokens = prompt_tokens(call);
        let latency = self.latencies.get(&call.key);
        let response_ms = latency.response_time().unwrap_or_default().as_secs_f64() * 1_000.0;
        let half_life_ms = (response_ms * REPORT_HALF_LIFE).max(1.0);
        let trust = 0.5_f64.powf(candidate.age.as_secs_f64() * 1_000.0 / half_life_ms);
        let others = f64::from(candidate.others) * trust;
        let known = self.fleet_view.targets.get(target);
        let queued = known.map_or(0, |known| known.view.load.queued);
        let queued = f64::from(queued.min(candidate.others)) * trust;
        let ms_per_token = timing.speed.ms_per_token();
        let half_life = latency.response_time().unwrap_or_default();
        let peers = timing
            .peers
            .at(target, ms_per_token * pace, half_life, self.now);
        let queued_tokens = queued * timing.mean_tokens;
        let own_tokens = own.tokens_left(ms_per_token * pace, self.now);
        // Targets of plain services process no prompts.
        let (base_ms, tokens_ahead) = match call.request.what {
            RequestedResource::Model(_) => (
                timing.speed.expected_ms(0.0),
                own_tokens + peers.tokens.max(queued_tokens),
            ),
            RequestedResource::Service { .. } => (response_ms, 0.0),
        };
        Work {
            tokens_ahead,
            requests: f64::from(candidate.own) + others.max(peers.requests),
            pace,
            prompt_tokens,
            ms_per_token,
            base_ms,
            busy: 0.0,
        }
    }

    /// Sets the expected cached prefixes of candidates for a request.
    pub(crate) fn credit_caches(&self, call: &Call, candidates: &mut [Candidate]) {
        credit_preferred(call, candidates, &self.timing.paces);
    }

    /// Observes which candidates are busy, and sets for which share of the time they are.
    pub(crate) fn observe_busy(&mut self, candidates: &mut [Candidate]) {
        if !self.uses_expected_time() {
            return;
        }
        for candidate in candidates {
            let is_busy = candidate.work.tokens_ahead >= 1.0;
            let target = &candidate.place.target;
            candidate.work.busy = self.timing.busy.observe(target, is_busy, self.now);
        }
    }

    /// Records that a request is sent to a candidate.
    pub(crate) fn observe_choice(&mut self, id: CallId, candidate: &Candidate) {
        if !self.uses_expected_time() {
            return;
        }
        let tokens = expected_time::uncached_tokens(candidate);
        let timing = &mut self.timing;
        if candidate.work.prompt_tokens > 0.0 {
            timing.mean_tokens += MEAN_GAIN * (tokens - timing.mean_tokens);
        }
        let prompt_tokens = candidate.work.prompt_tokens;
        let cached_tokens = (prompt_tokens - tokens).max(0.0);
        let sent = Sent {
            target: candidate.place.target.clone(),
            tokens,
            // What is likely to be cached counts with its probability; all of it may be.
            bounds: (prompt_tokens - 2.0 * cached_tokens, prompt_tokens),
            ahead: candidate.work.tokens_ahead,
            pace: candidate.work.pace,
            distance_ms: candidate.distance_ms,
        };
        let new_ms = tokens * timing.speed.ms_per_token() * sent.pace;
        timing.reporter.note_change(&sent.target, new_ms, self.now);
        timing.work.send(id, sent, self.now);
    }

    /// Returns the rank of a request that is being sent in its target's queue, if that is not the rank
    /// of its route.
    pub(crate) fn target_rank(&mut self, id: CallId) -> Option<u8> {
        if !self.uses_expected_time() {
            return None;
        }
        let call = self.calls.get(&id)?;
        let terms = call.request.terms.as_ref()?;
        let timing = &mut self.timing;
        let tokens = timing.work.tokens_of(id).unwrap_or(0.0);
        let ms = tokens * timing.speed.ms_per_token();
        let time = Time::from_secs_f64(ms / 1_000.0);
        if let Some(objective) = terms.objective
            && matches!(call.request.what, RequestedResource::Model(_))
        {
            timing.long_prompts.observe(objective, self.now);
        }
        Some(timing.long_prompts.target_rank(terms.rank, time))
    }

    /// Compares the time to a first byte with what was expected.
    pub(crate) fn observe_first_byte(&mut self, id: CallId, elapsed: Time) {
        if !self.uses_expected_time() {
            return;
        }
        let key = self.calls.get(&id).map(|call| &call.key);
        let usual = key.and_then(|key| self.latencies.get(key).first_byte());
        let is_model = self
            .calls
            .get(&id)
            .is_some_and(|call| matches!(call.request.what, RequestedResource::Model(_)));
        let timing = &mut self.timing;
        let Some(sent) = timing.work.begin(id, self.now) else {
            return;
        };
        timing.reporter.note_change(&sent.target, 0.0, self.now);
        let ms = (elapsed.as_secs_f64() * 1_000.0 - sent.distance_ms).max(0.0);
        let (least, most) = if is_model {
            let (least, most) = sent.bounds;
            let least = timing.speed.expected_ms(least.max(0.0));
            (least, timing.speed.expected_ms(most + sent.ahead))
        } else {
            let usual = usual.map_or(0.0, |usual| usual.as_secs_f64() * 1_000.0);
            (usual, usual)
        };
        // A time between the bounds is as expected.
        let at_usual_pace = ms / sent.pace;
        if least > 0.0 {
            let expected = at_usual_pace.clamp(least, most.max(least));
            let ratio = at_usual_pace / expected;
            timing.paces.record_observed(&sent.target, ratio, self.now);
        }
        let first_in_line = sent.ahead < 1.0;
        if is_model && first_in_line {
            let (least, most) = sent.bounds;
            timing.speed.record(least.max(0.0), most, at_usual_pace);
        }
    }

    /// Records that an attempt is no longer in flight.
    pub(crate) fn observe_end(&mut self, id: CallId) {
        if self.uses_expected_time() {
            self.timing.work.end(id, self.now);
        }
    }

    /// Records that a target failed a request.
    pub(crate) fn observe_failure(&mut self, target: &TargetId) {
        if self.uses_expected_time() {
            self.timing.paces.record_failure(target, self.now);
        }
    }

    /// Applies what another entry host of the region has in flight.
    pub(crate) fn on_peer_report(&mut self, received: &ReceivedReport) {
        let ReceivedReport {
            host,
            incarnation,
            report,
        } = received;
        let known = self.fleet_view.hosts.contains_key(host);
        if !self.uses_expected_time() || !known || *host == self.config.host {
            return;
        }
        let timing = &mut self.timing;
        if !timing.peers.apply(*host, *incarnation, report, self.now) {
            return;
        }
        for row in &report.rows {
            if let Some((pace, age_ms)) = row.pace {
                let at = self.now.saturating_sub(Time::from_millis(age_ms.into()));
                timing.paces.record_stated(&row.target, pace, at);
            }
        }
    }

    /// Drops what an entry host that has left had in flight.
    pub(crate) fn forget_peer(&mut self, host: HostId) {
        self.timing.peers.forget_host(host);
    }

    /// Returns when the other hosts of the region are to be told of changes.
    pub(crate) fn next_peer_report(&self) -> Option<Time> {
        self.timing.reporter.next()
    }

    /// Tells the other hosts of the region what this host has in flight, if that is due.
    pub(crate) fn report_to_peers(&mut self) {
        let Some(due) = self.timing.reporter.take_due(self.now) else {
            return;
        };
        let mut targets = due.changed.clone();
        if due.complete {
            let all = self.timing.work.targets();
            targets.extend(all.map(|(target, _)| target.clone()));
        }
        let mut rows: Vec<PeerRow> = targets.iter().map(|target| self.peer_row(target)).collect();
        let (bytes, all_fit) = peer_reporter::fit(&mut rows);
        let region = &self.config.region;
        let peers = self.fleet_view.hosts.values();
        let peers = peers.filter(|peer| peer.host != self.config.host && peer.region == *region);
        let peers: Vec<_> = peers.map(|peer| (peer.host, peer.incarnation)).collect();
        let reporter = &mut self.timing.reporter;
        let receivers = reporter.receivers(peers.len(), bytes, self.now);
        if receivers.is_empty() {
            if !peers.is_empty() {
                reporter.put_back(due.changed, self.now);
            }
            return;
        }
        let report = PeerReport {
            sequence: reporter.next_sequence(),
            complete: due.complete && all_fit,
            rows,
        };
        let hosts = receivers.into_iter().map(|index| peers[index]).collect();
        self.actions.push(Action::TellPeers { hosts, report });
    }

    /// Returns what this host has in flight at a target.
    fn peer_row(&self, target: &TargetId) -> PeerRow {
        let timing = &self.timing;
        let ms_per_token = timing.speed.ms_per_token() * timing.paces.ratio(target, self.now);
        let own = timing.work.at(target);
        let pace = timing.paces.stated(target).map(|(ratio, at)| {
            let age = self.now.saturating_sub(at).as_millis();
            let age = u32::try_from(age).unwrap_or(u32::MAX);
            (Pace(to_count(ratio * 100.0)), age)
        });
        PeerRow {
            target: target.clone(),
            tokens: to_count(own.tokens_left(ms_per_token, self.now)),
            requests: own.requests,
            pace,
        }
    }

    /// Drops what is known of a target that was removed or has restarted.
    pub(crate) fn forget_timing(&mut self, target: &str) {
        self.timing.paces.forget(target);
        self.timing.peers.forget_target(target);
        self.timing.busy.forget(target);
        self.timing.slots.remove(target);
    }
}

/// Sets the expected cached prefix of each candidate, for prompts with a shared part: that of the
/// targets that all hosts prefer for the part is likely, what this host alone has sent elsewhere may
/// be evicted by now.
fn credit_preferred(call: &Call, candidates: &mut [Candidate], paces: &Paces) {
    let Some(terms) = &call.request.terms else {
        return;
    };
    let targets = candidates.iter().map(|candidate| {
        let target = &candidate.place.target;
        (target, 1.0 / paces.usual(target))
    });
    let prefixes = &call.request.prefixes;
    let count = PREFERENCE_TRUST.len();
    let (order, blocks) = affinity::preference_order(targets, prefixes, &terms.sizes, count);
    if order.is_empty() {
        return;
    }
    for candidate in &mut *candidates {
        candidate.cached *= ELSEWHERE_TRUST;
    }
    for (index, trust) in order.into_iter().zip(PREFERENCE_TRUST) {
        let cached = &mut candidates[index].cached;
        *cached = cached.max(blocks * trust);
    }
}

/// Returns the number of a request's prompt tokens: as stated, else as the sizes of its prefixes
/// tell; 0 if neither is known.
fn prompt_tokens(call: &Call) -> f64 {
    let request = &call.request;
    let stated = request.usage.map(|usage| usage.prompt);
    let sizes = request.terms.as_ref().map(|terms| &terms.sizes);
    let measured = sizes.and_then(|sizes| sizes.last());
    let measured = measured.map(|last| u64::from(*last));
    let tokens = stated.or(measured).unwrap_or(0);
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}

/// Rounds a figure that is not negative to a count.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_count(figure: f64) -> u32 {
    figure.round() as u32
}
