/// Periods and limits of the engine directory, the prefix index and the router.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"
#include "cypresswall/engine_speed/settings.h"

namespace cypresswall::routing {

/// Bounds of the approximate index of cached prefixes.
struct PrefixIndexSettings {
  /// Maximum number of (engine, piece) entries, divided evenly among the engines. An entry takes
  /// about 150 bytes.
  std::size_t maximum_pieces = std::size_t{1} << 16U;
  /// Maximum time between an eviction and the arrival of its event: one poll period of cache events
  /// plus the delay of the events themselves. Events about pieces used more recently are ignored as
  /// outdated if cache contents are predicted.
  common::Duration event_lag = std::chrono::milliseconds(700);
  /// Factor applied to an engine's trust for each gap in its cache events.
  double gap_trust_factor = 0.95;
  /// Lower bound of an engine's trust.
  double minimum_trust = 0.8;
  /// Share of the lost trust that each batch of events without a gap restores.
  double trust_recovery = 0.1;
  /// If true, predicts cache changes that are not reported yet: pieces of prompts that were sent
  /// but not computed, and evictions by engines whose cache is full. If false, a reported piece
  /// counts as held until its eviction is reported.
  bool predicts_unreported = true;
};

/// Outlier ejection: when engines on which attempts fail are removed from routing, and for how
/// long.
struct EjectionSettings {
  /// If false, this node ejects no engine, but still reports failures to peers, which may have
  /// ejection enabled.
  bool ejection_enabled = true;
  /// Failures that are older than this are ignored.
  common::Duration window = std::chrono::seconds(1);
  /// Duration of an engine's first ejection. The duration doubles, up to `maximum_time`, with each
  /// ejection that begins within `backoff_reset_time` of the end of the previous one.
  common::Duration base_time = std::chrono::milliseconds(500);
  common::Duration maximum_time = std::chrono::seconds(4);
  common::Duration backoff_reset_time = std::chrono::seconds(3);
  /// Number of broken streams within `window` at which a node ejects the engine for itself. A node
  /// that can't reach the engine ejects it at once.
  std::size_t own_broken_streams = 3;
  /// Number of nodes that must report failures within `window` before an engine is ejected for the
  /// whole zone.
  std::size_t reporting_nodes = 2;
  /// Number of broken streams that these nodes together must report within `window`. Does not apply
  /// if the nodes report that they can't reach the engine.
  std::size_t zone_broken_streams = 5;
  /// Maximum share of a model's engines of one role that may be ejected at the same time, for the
  /// ejection of an engine that can't be reached.
  double maximum_unreached_share = 0.5;
  /// The same for the ejection of an engine on which streams break. Lower, because such an engine
  /// still serves some requests.
  double maximum_broken_share = 0.2;
  /// Maximum number of stored failure reports per engine.
  std::size_t remembered_failures = 32;
};

/// Division of engines among routing nodes.
struct GroupSettings {
  /// Zones of up to this many nodes are not divided into groups: each node routes to all engines.
  std::size_t shared_zone_node_limit = 24;
  /// Mean number of engines of one model in a group. Small enough that one small node can poll a
  /// group's engines and place their requests (about 100 per second at 6 requests per second and
  /// engine); large enough to balance roles and caches within a group.
  std::size_t engines_per_group = 16;
  /// Number of owners (routing nodes) of a group.
  std::size_t owners = 2;
};

/// How placements are requested from the owners of a group.
struct PlacementSettings {
  /// Maximum time to wait for an owner's answer before the next owner is asked: about ten times the
  /// response time between zones.
  common::Duration answer_limit = std::chrono::milliseconds(100);
  /// Minimum time to wait for an owner's answer, for requests with a short time limit.
  common::Duration minimum_answer_limit = std::chrono::milliseconds(25);
  /// Time to wait for an owner's answer as a share of the request's limit on the time to first
  /// token, within the two bounds above.
  double answer_share = 0.25;
  /// For this long after an owner did not answer, other owners are asked first. The failure of a
  /// node is detected only after 2.5 s.
  common::Duration unresponsive_time = std::chrono::milliseconds(500);
  /// Maximum number of owners asked for one attempt.
  std::size_t maximum_owners_asked = 4;
  /// Retry-After if no owner answered, or the asked owner can't place requests of the group.
  common::Duration retry_after = std::chrono::seconds(1);
  /// An owner drops a placement after this time if the placement's end was not reported.
  common::Duration placement_time_limit = std::chrono::seconds(60);
  /// Maximum number of open placements per owner; an owner that has reached it refuses further
  /// requests. The default is twenty times the number at 100 requests per second that last 10 s
  /// each.
  std::size_t maximum_placements = 20000;
};

/// Polling of engines and publication of their state.
struct DirectorySettings {
  /// Poll period of the load reports of a watched engine whose load changes.
  common::Duration poll_period = std::chrono::milliseconds(250);
  /// Poll interval, in poll periods, of a ready engine without significant load changes. The
  /// resulting interval plus `publish_period` must be shorter than `catch_up_time`, within which
  /// every engine must be polled once.
  std::uint32_t steady_poll_factor = 2;
  /// Poll period of a watched engine's cache events.
  common::Duration cache_poll_period = std::chrono::milliseconds(500);
  /// While polls return no events and the engine's load is unchanged, the poll interval of its
  /// cache events doubles, up to this many `cache_poll_period`s.
  std::uint32_t quiet_cache_poll_factor = 4;
  /// Minimum time between two publications to the zone's peers.
  common::Duration publish_period = std::chrono::milliseconds(250);
  /// An engine whose newest report is older than this receives no work.
  common::Duration maximum_report_age = std::chrono::seconds(3);
  /// How long a node keeps watching an engine after another node has become its watcher.
  common::Duration hand_over_overlap = std::chrono::seconds(1);
  /// Budget for publications to all peers together, including envelopes, excluding TCP/IP headers.
  /// In zones of many nodes the budget is larger, because each peer needs at least one small
  /// publication per second.
  std::uint32_t publish_bytes_per_second = 3500;
  /// If the directory's timer, which fires every `poll_period`, has not fired for longer than this,
  /// the process was paused. This node then routes no requests for `catch_up_time`.
  common::Duration pause_limit = std::chrono::milliseconds(1500);
  /// Time to learn what changed during a pause of the process: two heartbeats and one poll of the
  /// engines.
  common::Duration catch_up_time = std::chrono::milliseconds(1000);
  /// Consecutive failed polls after which an engine receives no work.
  std::uint32_t unreachable_after_failures = 2;
  PrefixIndexSettings prefix_index;
  EjectionSettings ejection;
  GroupSettings groups;
};

/// Learning of prompt speed; see PromptSpeedEstimator.
struct PromptSpeedSettings {
  /// If false, the engines' declared or assumed speeds are used.
  bool learns = true;
  /// Each new sample of a model multiplies the weight of the previous samples by this factor, for
  /// an effective window of about 50 samples.
  double retention = 0.98;
  /// Weight of the assumed speed and latency, as an equivalent number of samples of a model.
  double prior_samples = 0.1;
  /// Samples that deviate from the expected duration by up to this share have full weight; the
  /// weight decreases with larger deviations.
  double usual_deviation = 0.15;
  /// Weight of the newest sample in the moving average of an engine's own scale, 0 to 1.
  double engine_weight = 0.25;
  /// Number of samples of an engine at which its own scale has the same weight as its model's.
  double engine_samples = 1;
  /// Half-life of the weight of an engine's samples in seconds, so that an engine that was slow is
  /// tried again.
  double engine_half_life = 3;
  /// Measured durations are clamped to the expected one divided or multiplied by this factor, when
  /// learning the speed of a model. One stalled prompt thus does not make a model look slow, while
  /// a lasting change of speed is followed within a few samples.
  double model_outlier_factor = 4;
  /// The same when learning an engine's own scale, relative to its previous scale.
  double engine_outlier_factor = 4;
};

/// Learning of the time between tokens and of the duration of answers; see OutputSpeedEstimator.
struct OutputSpeedSettings {
  /// If false, the engines' declared or assumed step durations are used.
  bool learns_steps = true;
  /// If false, the remaining time of running streams is derived from the tokens that engines
  /// report.
  bool learns_remaining_time = true;
  /// Each new answer of a model multiplies the weight of the previous answers by this factor, for
  /// an effective window of about 30 answers.
  double retention = 0.97;
  /// The same factor for learning the duration of answers, with an effective window of about 300
  /// answers. Answers of any length are used.
  double length_retention = 0.997;
  /// Weight of the declared or assumed step duration, as an equivalent number of answers.
  double prior_answers = 0.5;
  /// When learning the step duration, the duration of an answer is capped at this multiple of the
  /// expected one.
  double outlier_factor = 4;
  /// Lower bound of the learned factor on the step duration.
  double minimum_scale = 1e-3;
  /// Answers with fewer tokens are not used to learn the step duration, because their output ends
  /// within one or two steps. Also the smallest number of output tokens of a long answer (see
  /// RouterSettings::consolidates_long_answers).
  std::uint32_t minimum_tokens = 16;
};

/// Parameters of the router's cost model.
struct RouterSettings {
  /// Above this many candidates a random sample is evaluated instead of all of them.
  std::uint32_t full_scan_limit = 512;
  /// Number of engines in that sample. Engines that hold a prefix of the prompt are added to the
  /// sample.
  std::uint32_t sample_size = 64;
  /// Engines whose cost exceeds the lowest cost by at most this are considered equal.
  double cost_tolerance = 0.03;
  /// Weight of the time between tokens in the cost, relative to the time to first token. Each time
  /// is expressed as a share of its limit.
  double between_tokens_weight = 1.0;
  /// Limits that apply to requests that specify none.
  common::Duration default_first_token_limit = std::chrono::milliseconds(1300);
  common::Duration default_between_tokens_limit = std::chrono::milliseconds(79);
  /// A late first token is no reason for refusal if the request would wait at most this long on the
  /// engine: the first token is then late because of the length of the prompt, not because of the
  /// queue.
  common::Duration negligible_wait = std::chrono::milliseconds(20);
  /// Prompt tokens that an engine computes in one step together with the output of its streams.
  double prefill_chunk_tokens = 512;
  /// Fixed time to transfer a KV cache from a prefill engine to a decode engine.
  common::Duration kv_transfer_base = std::chrono::milliseconds(10);
  /// Time to transfer the KV cache of 1,000 tokens, in addition to the fixed time. Used for engines
  /// that declare no time per token.
  common::Duration kv_transfer_per_thousand_tokens = std::chrono::milliseconds(26);
  /// Bounds of Retry-After.
  common::Duration minimum_retry_after = std::chrono::seconds(1);
  common::Duration maximum_retry_after = std::chrono::seconds(60);
  /// Fixed time to copy cached pieces, in addition to the time per token.
  common::Duration prefix_copy_base = std::chrono::milliseconds(1);
  /// Whether engines can copy cached pieces of a prompt from other engines.
  bool copies_prefixes = false;
  /// If a copy would save the computation of fewer tokens than this, the tokens are computed rather
  /// than copied.
  std::uint32_t minimum_copied_tokens = 1024;
  /// Weight of the time for which a prompt occupies an engine and thereby delays other prompts,
  /// relative to the wait of the request itself. Multiplied by the share of engines on which the
  /// prompt would have to wait.
  double occupancy_weight = 1.5;
  /// Indirect cost of copying tokens as a share of the time to compute them: the copy evicts other
  /// cached tokens that must be recomputed later.
  double displacement_share = 1;
  /// Prompts with a shared part that no engine holds yet are routed to the engine preferred by
  /// rendezvous hashing, if this engine's additional cost is at most this share of the cost of
  /// computing the shared part. Applies only if `copies_prefixes` is set.
  double affinity_share = 0.1;
  /// Maximum time for which a prompt may delay the output of a decode engine, as a share of the
  /// limit on the time between tokens. For hosts of long answers, `host_decode_delay_share`
  /// applies.
  double decode_delay_share = 0.6;
  /// If true, long answers are generated on only a part of the decode engines (the hosts), so that
  /// the other decode engines can compute prompts with little delay of output. If false, all decode
  /// engines are treated alike.
  bool consolidates_long_answers = true;
  /// The number of hosts is chosen so that the running output streams would fill this share of
  /// their stream slots, plus one host. Few hosts are sufficient because many streams make a step
  /// only slightly longer, whereas a prompt computed between steps delays all streams of the
  /// engine.
  double output_fill = 0.5;
  /// Minimum number of hosts as a share of the decode engines, because many answers may begin
  /// between two load reports.
  double minimum_host_share = 0.25;
  /// Maximum time for which a prompt may wait and be computed on a host, as a share of the limit on
  /// the time between tokens.
  double host_decode_delay_share = 0.3;
  /// A long prompt whose end was not reported is dropped when it should have been computed longer
  /// ago than this.
  common::Duration backlog_expiry = std::chrono::seconds(2);
  PromptSpeedSettings prompt_speed;
  OutputSpeedSettings output_speed;
  /// If enabled, the learned steps replace the declared ones and those of `output_speed`, and a
  /// stream is placed by its effect on the output of all streams of an engine.
  engine_speed::EngineSpeedSettings engine_speed;
  /// Cost of a stream that certainly has a pause longer than the limit between tokens, or that
  /// certainly ends after its time limit; a first token at its limit costs 1.
  double late_output_weight = 10;
  /// Cost, as a time to first token, that is saved by sending to an engine to which the node has an
  /// idle connection. Decides among near equals only.
  common::Duration connection_discount{0};
  /// A load report is assumed to include an attempt only if the report describes a time at least
  /// this long after the start of the attempt.
  common::Duration report_slack = std::chrono::milliseconds(20);
};

}  // namespace cypresswall::routing
