/// Periods and limits of the engine directory, the prefix index and the router.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::routing {

/// Bounds of the approximate index of cached prefixes.
struct PrefixIndexSettings {
  /// Pairs of an engine and a piece that are remembered, shared evenly by the engines; each takes
  /// some 150 bytes.
  std::size_t maximum_pieces = std::size_t{1} << 16U;
  /// Age that a report of a piece given up may have: one poll of the events, and their own delay.
  common::Duration event_lag = std::chrono::milliseconds(700);
  /// Factor on an engine's trust for each gap found in its cache events.
  double gap_trust_factor = 0.95;
  /// Trust never falls below this.
  double minimum_trust = 0.8;
  /// Part of the lost trust that each batch of events without a gap restores.
  double trust_recovery = 0.1;
  /// Counts what nobody told yet: pieces of prompts that were sent but not computed, and what full
  /// engines give up. Off: told pieces count until their loss is told.
  bool predicts_unreported = true;
};

/// When engines at which attempts fail get no work, and for how long.
struct EjectionSettings {
  /// Off: failures are told to peers, which may have it on, but this node ejects no engine.
  bool ejection_enabled = true;
  /// Failures older than this don't count.
  common::Duration window = std::chrono::seconds(1);
  /// First ejection; doubled with each one that begins within `memory` of the end of the last.
  common::Duration base_time = std::chrono::milliseconds(500);
  common::Duration maximum_time = std::chrono::seconds(4);
  common::Duration backoff_reset_time = std::chrono::seconds(3);
  /// Streams that broke at a node in the window after which the node ejects the engine for itself.
  std::size_t own_broken_streams = 3;
  /// Nodes that have to tell of failures before an engine is ejected for the zone.
  std::size_t reporting_nodes = 2;
  /// Streams that broke in the zone in the window, before that.
  std::size_t zone_broken_streams = 5;
  /// Share of a model's engines of one role that may be ejected at a time: those that attempts
  /// don't reach, and those at which streams break. The latter still serve some.
  double maximum_unreached_share = 0.5;
  double maximum_broken_share = 0.2;
  /// Failures of one engine remembered at a time.
  std::size_t remembered_failures = 32;
};

/// How engines are divided among the nodes that decide about them.
struct GroupSettings {
  /// Up to so many nodes, each decides about all engines.
  std::size_t shared_zone_node_limit = 24;
  /// Engines of one model in a group, on average. Few enough for one small node to read and place:
  /// at the users' 6 requests a second an engine some 100 requests; enough for roles and caches to
  /// even out within a group.
  std::size_t engines_per_group = 16;
  /// Nodes that know a group's engines.
  std::size_t owners = 2;
};

/// How places are asked of the owners of a group.
struct PlacementSettings {
  /// An owner that has not answered within this is passed over: some ten times what an answer takes
  /// between zones. Shorter where the request's own limit is short.
  common::Duration answer_limit = std::chrono::milliseconds(100);
  common::Duration minimum_answer_limit = std::chrono::milliseconds(25);
  /// Share of the time to the first token that waiting for one answer may take.
  double answer_share = 0.25;
  /// An owner that did not answer is asked last for this long. Its death is known after 2.5 s.
  common::Duration unresponsive_time = std::chrono::milliseconds(500);
  /// Owners asked for one attempt.
  std::size_t maximum_owners_asked = 4;
  /// Retry-After where no owner answered.
  common::Duration retry_after = std::chrono::seconds(1);
  /// An owner forgets a place that it gave after this, though its end was not told.
  common::Duration placement_time_limit = std::chrono::seconds(60);
  /// Places that an owner has given and not got back; beyond, it gives none. At 100 requests a
  /// second that last 10 s, twenty times as many as are open.
  std::size_t maximum_placements = 20000;
};

/// How engines are watched and how what is learnt is passed on.
struct DirectorySettings {
  /// Between two load reports read from one watched engine whose load moves.
  common::Duration poll_period = std::chrono::milliseconds(250);
  /// A ready engine whose reports would not alter a choice is read every so many poll periods. With
  /// a publication this must stay below `catch_up_time`, which waits for one read of every engine.
  std::uint32_t steady_poll_factor = 2;
  /// Between two reads of a watched engine's cache events.
  common::Duration cache_poll_period = std::chrono::milliseconds(500);
  /// While reads bring no event and the engine's load stands still, the time between two of them
  /// doubles up to so many periods.
  std::uint32_t quiet_cache_poll_factor = 4;
  /// Shortest time between two publications to the zone's peers.
  common::Duration publish_period = std::chrono::milliseconds(250);
  /// An engine whose newest report describes a moment longer ago gets no work.
  common::Duration silence_limit = std::chrono::seconds(3);
  /// How long a node goes on watching an engine after another node took it over.
  common::Duration hand_over_overlap = std::chrono::seconds(1);
  /// Bytes of publications to all peers together, envelopes included, without TCP/IP headers. In a
  /// zone of many nodes more is spent: what one small publication a second to each peer takes.
  std::uint32_t publish_bytes_per_second = 3500;
  /// A process whose timers are late by this much was paused, and routes nothing for a while.
  common::Duration pause_limit = std::chrono::milliseconds(1500);
  /// How long it then takes to learn what changed meanwhile: two heartbeats, and a poll of engines.
  common::Duration catch_up_time = std::chrono::milliseconds(1000);
  /// Consecutive polls that reached nothing after which an engine gets no work.
  std::uint32_t unreachable_after_failures = 2;
  PrefixIndexSettings prefix_index;
  EjectionSettings ejection;
  GroupSettings groups;
};

/// How the time that prompts take is learnt.
struct PromptSpeedSettings {
  /// Off: the engines' declared or assumed speeds hold.
  bool learns = true;
  /// Weight that the former samples of a model keep at each new one: some 50 samples count.
  double retention = 0.98;
  /// Samples of a model that the assumed speed counts for.
  double prior_samples = 0.1;
  /// Samples within this share of what was expected have full weight.
  double usual_deviation = 0.15;
  /// Weight of the newest sample in an engine's own scale.
  double engine_weight = 0.25;
  /// Samples of an engine at which its own scale counts as much as its model's.
  double engine_samples = 1;
  /// Time in which the samples of an engine lose half of their weight, seconds: an engine that was
  /// slow is tried again.
  double engine_half_life = 3;
  /// A sample that is off by more than this factor counts as off by it: one stalled prompt must not
  /// make a model look slow, while a speed that did change is followed within a few samples.
  double model_outlier_factor = 4;
  double engine_outlier_factor = 4;
};

/// How the time between tokens is learnt.
struct OutputSpeedSettings {
  /// Off: the engines' declared or assumed steps hold.
  bool learns_steps = true;
  /// Off: what running streams have left follows from the tokens that engines report.
  bool learns_remaining_time = true;
  /// Weight that the former answers of a model keep at each new one: some 30 answers count.
  double retention = 0.97;
  /// The same for the time that answers last, of which all count: some 300.
  double length_retention = 0.997;
  /// Answers for which the assumed steps count.
  double prior_answers = 0.5;
  /// An answer that took longer than this many times what was expected counts as that.
  double outlier_factor = 4;
  double minimum_scale = 1e-3;
  /// The output of shorter answers ends within a step or two, which tells nothing.
  std::uint32_t minimum_tokens = 16;
};

/// How the router weighs engines.
struct RouterSettings {
  /// Above this many candidates a sample is weighed instead of all of them.
  std::uint32_t full_scan_limit = 512;
  /// Size of that sample, beside the engines that hold a prefix of the prompt.
  std::uint32_t sample_size = 64;
  /// Engines whose cost is within this of the least are held equal.
  double cost_tolerance = 0.03;
  /// Weight of the time between tokens, as a share of its limit, against the same for the first
  /// token.
  double between_tokens_weight = 1.0;
  /// Limits used where a request gives none.
  common::Duration default_first_token_limit = std::chrono::milliseconds(1300);
  common::Duration default_between_tokens_limit = std::chrono::milliseconds(79);
  /// A request is never refused for an engine on which it would wait less than this: it is then
  /// late because of its own length.
  common::Duration negligible_wait = std::chrono::milliseconds(20);
  /// Prompt tokens that an engine computes in one step beside the output of its streams.
  double prefill_chunk_tokens = 512;
  /// Cost of handing a KV cache from a prefill engine to a decode engine.
  common::Duration kv_transfer_base = std::chrono::milliseconds(10);
  /// Time for the KV cache of 1,000 tokens, beside the base.
  common::Duration kv_transfer_per_thousand_tokens = std::chrono::milliseconds(26);
  /// Bounds of Retry-After.
  common::Duration minimum_retry_after = std::chrono::seconds(1);
  common::Duration maximum_retry_after = std::chrono::seconds(60);
  /// Time that a copy of cached pieces takes beside its tokens.
  common::Duration prefix_copy_base = std::chrono::milliseconds(1);
  /// Engines copy cached pieces of a prompt from one another when told where they are.
  bool copies_prefixes = false;
  /// Fewer tokens than these are computed rather than copied.
  std::uint32_t minimum_copied_tokens = 1024;
  /// Weight of the time for which a prompt occupies an engine, beside the time that the request
  /// itself waits, when prompts wait at every engine: what it occupies, others wait for.
  double occupancy_weight = 1.5;
  /// Share of the computing time of copied tokens that a copy costs in the end, by the cached
  /// tokens that it displaces and that are computed again later.
  double displacement_share = 1;
  /// Prompts that share a part whose computation takes long meet on the engine that hashing
  /// prefers, if that costs no more than this share of the computation.
  double affinity_share = 0.1;
  /// Part of the limit between tokens for which a prompt may hold up the output of a decode engine.
  double decode_delay_share = 0.6;
  /// Off: long answers go to any decode engine, and prompts may be computed at each.
  bool consolidates_long_answers = true;
  /// Long answers are gathered on as few decode engines as hold them with this share of their
  /// places taken, and one more: a step takes little longer with many streams, but a prompt between
  /// their steps holds up all of them.
  double output_fill = 0.5;
  /// Share of the decode engines on which long answers are gathered at the least: reports are late,
  /// and many answers may begin between two of them.
  double minimum_host_share = 0.25;
  /// Part of the limit between tokens that prompts may wait and be computed at such an engine.
  double host_decode_delay_share = 0.3;
  /// A long prompt whose end was not told is forgotten when it is overdue by this.
  common::Duration backlog_expiry = std::chrono::seconds(2);
  PromptSpeedSettings prompt_speed;
  OutputSpeedSettings output_speed;
  /// A report that describes a moment this short after an attempt started may not show it yet.
  common::Duration report_slack = std::chrono::milliseconds(20);
};

}  // namespace cypresswall::routing
