/// Periods and limits of the engine directory, the prefix index and the router.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::routing {

/// Bounds of the approximate index of cached prefixes.
struct PrefixIndexSettings {
  /// Limit of (engine, piece) entries, divided evenly among the engines; an entry takes about 150
  /// bytes.
  std::size_t maximum_pieces = std::size_t{1} << 16U;
  /// Maximum age of an eviction report: one poll period of the events plus their own delay.
  common::Duration event_lag = std::chrono::milliseconds(700);
  /// Factor applied to an engine's trust for each gap in its cache events.
  double gap_trust_factor = 0.95;
  /// Lower bound of trust.
  double minimum_trust = 0.8;
  /// Share of the lost trust that each batch of events without a gap restores.
  double trust_recovery = 0.1;
  /// Predicts cache changes that were not reported yet: pieces of prompts that were sent but not
  /// computed, and evictions by full engines. Off: reported pieces count until their eviction is
  /// reported.
  bool predicts_unreported = true;
};

/// Outlier ejection: when engines on which attempts fail are removed from routing, and for how
/// long.
struct EjectionSettings {
  /// Off: failures are still reported to peers, which may have it on, but this node ejects no
  /// engine.
  bool ejection_enabled = true;
  /// Failures older than this don't count.
  common::Duration window = std::chrono::seconds(1);
  /// Duration of the first ejection; doubled for each one that begins within `backoff_reset_time`
  /// of the end of the previous one.
  common::Duration base_time = std::chrono::milliseconds(500);
  common::Duration maximum_time = std::chrono::seconds(4);
  common::Duration backoff_reset_time = std::chrono::seconds(3);
  /// Broken streams at one node within the window after which that node ejects the engine locally.
  std::size_t own_broken_streams = 3;
  /// Nodes that must report failures before an engine is ejected for the whole zone.
  std::size_t reporting_nodes = 2;
  /// Broken streams in the zone within the window required in addition, unless nodes report that
  /// they can't reach the engine.
  std::size_t zone_broken_streams = 5;
  /// Maximum share of a model's engines of one role that may be ejected at a time: unreachable
  /// ones, and ones on which streams break. The latter limit is lower because such engines still
  /// serve some requests.
  double maximum_unreached_share = 0.5;
  double maximum_broken_share = 0.2;
  /// Limit of stored failure reports per engine.
  std::size_t remembered_failures = 32;
};

/// Division of engines among routing nodes.
struct GroupSettings {
  /// Zones of up to this many nodes are not divided: each node routes to all engines.
  std::size_t shared_zone_node_limit = 24;
  /// Mean number of engines of one model in a group. Small enough for one small node to poll them
  /// and to place their requests (about 100 per second at 6 requests per second and engine); large
  /// enough to balance roles and caches within a group.
  std::size_t engines_per_group = 16;
  /// Owners (routing nodes) of a group.
  std::size_t owners = 2;
};

/// How placements are requested from the owners of a group.
struct PlacementSettings {
  /// Time-out of a request to an owner, after which the next owner is asked: about ten times the
  /// response time between zones. Shorter for requests with a short time limit.
  common::Duration answer_limit = std::chrono::milliseconds(100);
  common::Duration minimum_answer_limit = std::chrono::milliseconds(25);
  /// Share of the time-to-first-token limit that one request to an owner may take.
  double answer_share = 0.25;
  /// An owner that did not answer is asked last for this long. Its failure is detected after 2.5 s.
  common::Duration unresponsive_time = std::chrono::milliseconds(500);
  /// Maximum number of owners asked for one attempt.
  std::size_t maximum_owners_asked = 4;
  /// Retry-After if no owner answered.
  common::Duration retry_after = std::chrono::seconds(1);
  /// An owner drops a placement after this time if its end was not reported.
  common::Duration placement_time_limit = std::chrono::seconds(60);
  /// Limit of open placements per owner; beyond it, the owner grants none. Twenty times the number
  /// of open placements at 100 requests per second that last 10 s each.
  std::size_t maximum_placements = 20000;
};

/// Polling of engines and publication of their state.
struct DirectorySettings {
  /// Poll period of the load reports of a watched engine whose load changes.
  common::Duration poll_period = std::chrono::milliseconds(250);
  /// Poll interval, in poll periods, of a ready engine without significant load changes. Together
  /// with `publish_period` it must stay below `catch_up_time`, which waits for one poll of every
  /// engine.
  std::uint32_t steady_poll_factor = 2;
  /// Poll period of a watched engine's cache events.
  common::Duration cache_poll_period = std::chrono::milliseconds(500);
  /// While polls return no events and the engine's load is unchanged, the poll interval of cache
  /// events doubles up to this many periods.
  std::uint32_t quiet_cache_poll_factor = 4;
  /// Minimum time between two publications to the zone's peers.
  common::Duration publish_period = std::chrono::milliseconds(250);
  /// An engine whose newest report is older than this receives no work.
  common::Duration maximum_report_age = std::chrono::seconds(3);
  /// How long a node keeps watching an engine after another node took it over.
  common::Duration hand_over_overlap = std::chrono::seconds(1);
  /// Budget for publications to all peers together, including envelopes, excluding TCP/IP headers.
  /// Exceeded in zones of many nodes, where each peer needs at least one small publication per
  /// second.
  std::uint32_t publish_bytes_per_second = 3500;
  /// If timers fire this late, the process was paused; it then routes nothing for `catch_up_time`.
  common::Duration pause_limit = std::chrono::milliseconds(1500);
  /// Time to learn what changed during a pause: two heartbeats and one poll of the engines.
  common::Duration catch_up_time = std::chrono::milliseconds(1000);
  /// Consecutive failed polls after which an engine receives no work.
  std::uint32_t unreachable_after_failures = 2;
  PrefixIndexSettings prefix_index;
  EjectionSettings ejection;
  GroupSettings groups;
};

/// Learning of prompt (prefill) speed.
struct PromptSpeedSettings {
  /// Off: the engines' declared or assumed speeds are used.
  bool learns = true;
  /// Factor on the weight of a model's previous samples at each new one: an effective window of
  /// about 50 samples.
  double retention = 0.98;
  /// Weight of the assumed speed, in samples of a model.
  double prior_samples = 0.1;
  /// Samples that deviate from the expectation by up to this share have full weight.
  double usual_deviation = 0.15;
  /// Weight of the newest sample in an engine's own scale.
  double engine_weight = 0.25;
  /// Number of samples of an engine at which its own scale has the same weight as its model's.
  double engine_samples = 1;
  /// Half-life of the weight of an engine's samples in seconds, so that an engine that was slow is
  /// tried again.
  double engine_half_life = 3;
  /// Samples are clamped to this factor of the expectation: one stalled prompt must not make a
  /// model look slow, while a lasting change of speed is followed within a few samples.
  double model_outlier_factor = 4;
  double engine_outlier_factor = 4;
};

/// Learning of the time between tokens.
struct OutputSpeedSettings {
  /// Off: the engines' declared or assumed step times are used.
  bool learns_steps = true;
  /// Off: the remaining time of running streams is derived from the tokens that engines report.
  bool learns_remaining_time = true;
  /// Factor on the weight of a model's previous answers at each new one: an effective window of
  /// about 30 answers.
  double retention = 0.97;
  /// The same for the duration of answers, to which answers of any length contribute: about 300.
  double length_retention = 0.997;
  /// Weight of the assumed step time, in answers.
  double prior_answers = 0.5;
  /// The duration of an answer is capped at this multiple of the expectation.
  double outlier_factor = 4;
  double minimum_scale = 1e-3;
  /// Shorter answers are ignored: their output ends within one or two steps.
  std::uint32_t minimum_tokens = 16;
};

/// Parameters of the router's cost model.
struct RouterSettings {
  /// Above this many candidates a random sample is evaluated instead of all of them.
  std::uint32_t full_scan_limit = 512;
  /// Size of that sample; engines that hold a prefix of the prompt are added to it.
  std::uint32_t sample_size = 64;
  /// Engines whose cost exceeds the lowest cost by at most this are considered equal.
  double cost_tolerance = 0.03;
  /// Weight of the time between tokens relative to the time to first token, each as a share of its
  /// limit.
  double between_tokens_weight = 1.0;
  /// Limits of requests that specify none.
  common::Duration default_first_token_limit = std::chrono::milliseconds(1300);
  common::Duration default_between_tokens_limit = std::chrono::milliseconds(79);
  /// A request is not refused if it would wait less than this on an engine: it then misses its
  /// limit because of its own length.
  common::Duration negligible_wait = std::chrono::milliseconds(20);
  /// Prompt tokens that an engine computes in one step together with the output of its streams.
  double prefill_chunk_tokens = 512;
  /// Fixed time to transfer a KV cache from a prefill engine to a decode engine.
  common::Duration kv_transfer_base = std::chrono::milliseconds(10);
  /// Time to transfer the KV cache of 1,000 tokens, on top of the base.
  common::Duration kv_transfer_per_thousand_tokens = std::chrono::milliseconds(26);
  /// Bounds of Retry-After.
  common::Duration minimum_retry_after = std::chrono::seconds(1);
  common::Duration maximum_retry_after = std::chrono::seconds(60);
  /// Fixed time to copy cached pieces, on top of the time per token.
  common::Duration prefix_copy_base = std::chrono::milliseconds(1);
  /// Engines can copy cached pieces of a prompt from other engines.
  bool copies_prefixes = false;
  /// Fewer tokens than this are computed rather than copied.
  std::uint32_t minimum_copied_tokens = 1024;
  /// Weight of the time for which a prompt occupies an engine and thereby delays others, relative
  /// to the wait of the request itself. Applies in full when prompts are queued on every engine.
  double occupancy_weight = 1.5;
  /// Indirect cost of copying tokens as a share of the time to compute them: the copy evicts other
  /// cached tokens that must be recomputed later.
  double displacement_share = 1;
  /// Prompts that share an expensive part are routed to the engine preferred by rendezvous hashing,
  /// if the additional cost is at most this share of the time to compute that part.
  double affinity_share = 0.1;
  /// Share of the limit between tokens by which a prompt may delay the output of a decode engine.
  double decode_delay_share = 0.6;
  /// Off: long answers go to any decode engine, and prompts may be computed on each of them.
  bool consolidates_long_answers = true;
  /// Long answers are consolidated on the fewest decode engines on which they take up this share of
  /// the stream slots, plus one: many streams make a step only slightly longer, but a prompt
  /// computed between steps delays all of them.
  double output_fill = 0.5;
  /// Minimum share of the decode engines on which long answers are consolidated: many answers may
  /// begin between two reports.
  double minimum_host_share = 0.25;
  /// Share of the limit between tokens that prompts may wait and be computed on such an engine.
  double host_decode_delay_share = 0.3;
  /// A long prompt whose end was not reported is dropped when it is overdue by this.
  common::Duration backlog_expiry = std::chrono::seconds(2);
  PromptSpeedSettings prompt_speed;
  OutputSpeedSettings output_speed;
  /// A report that describes a time this shortly after the start of an attempt may not include it.
  common::Duration report_slack = std::chrono::milliseconds(20);
};

}  // namespace cypresswall::routing
