#include "cypresswall/settings/policy_keys.h"

#include <algorithm>
#include <set>
#include <string>

namespace cypresswall::settings {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

SettingKey fleetRegionsKey() {
  SettingKey key;
  key.name = "retries.regions";
  key.unit = "list of regions";
  key.range = "names, also several times each";
  key.default_text = "[]";
  key.meaning =
      "Regions of all nodes of the fleet; those of each region divide the same part of "
      "retries.fleet_burst and of tenants' quotas. Empty for one region.";
  key.is_list = true;
  key.apply = [](DaemonSettings& settings, const RawValue& value) {
    const std::set<std::string> regions(value.items.begin(), value.items.end());
    settings.node.local_share.regions = std::max<std::size_t>(1, regions.size());
    settings.node.tenant_accounts.regions = settings.node.local_share.regions;
  };
  return key;
}

/// Names that platforms use for the duties that one node performs for the whole fleet.
constexpr const char* kUsageDuty = "usage_report";
constexpr const char* kAutoscalingDuty = "autoscale";

SettingKey autoscalingPolicyKey() {
  using autoscaling::Policy;
  static const std::map<std::string, Policy> kPolicies = {{"none", Policy::kNone},
                                                          {"fixed", Policy::kFixed},
                                                          {"threshold", Policy::kThreshold},
                                                          {"worth", Policy::kWorth}};
  SettingKey key;
  key.name = "autoscaling.policy";
  key.unit = "policy";
  key.range = "none, fixed, threshold, worth";
  key.default_text = "worth";
  key.meaning =
      "How many engines are ordered where the platform lets the system choose: none are, so many, "
      "as many as keep utilisation below a limit, or as many as are worth their price.";
  key.apply = [](DaemonSettings& settings, const RawValue& value) {
    const auto policy = kPolicies.find(singleText(value));
    if (policy == kPolicies.end()) {
      throw ValueError("'" + singleText(value) +
                       "' is not a policy; use none, fixed, threshold or worth");
    }
    settings.node.autoscaling.policy = policy->second;
  };
  return key;
}

SettingKey dutyNamesKey() {
  SettingKey key;
  key.name = "duties.names";
  key.unit = "list of duties";
  key.range = "usage_report, autoscale; others are passed over";
  key.default_text = "[]";
  key.meaning = "What the platform asks of the fleet: to report usage, to order engines.";
  key.is_list = true;
  key.apply = [](DaemonSettings& settings, const RawValue& value) {
    const std::set<std::string> names(value.items.begin(), value.items.end());
    settings.node.duties.usage.reports = names.contains(kUsageDuty);
    settings.node.autoscaling.available = names.contains(kAutoscalingDuty);
  };
  return key;
}

}  // namespace

std::vector<SettingKey> planningKeys() {
  return {
      switchKey(
          "planning.automatic_roles", [](auto& s) -> auto& { return s.planning.automatic_roles; },
          "Whether engines' roles follow the demand, where the platform declares the fleet."),
      numberKey(
          "planning.role_change_weight", 0, 1e6,
          [](auto& s) -> auto& { return s.planning.role_change_weight; },
          "What a change of role has to gain there, in the planner's units."),
      durationKey(
          "planning.horizon", seconds(1), hours(1),
          [](auto& s) -> auto& { return s.planning.horizon; },
          "Over how long a change of role has to pay for itself there."),
      durationKey(
          "planning.short_window", milliseconds(500), minutes(10),
          [](auto& s) -> auto& { return s.node.controller.demand.short_window; },
          "Window of the newest demand by which roles are planned."),
      durationKey(
          "planning.long_window", seconds(1), hours(1),
          [](auto& s) -> auto& { return s.node.controller.demand.long_window; },
          "Window of the demand against which the newest is held."),
      durationKey(
          "planning.interval", milliseconds(100), minutes(10),
          [](auto& s) -> auto& { return s.node.controller.planning_period; },
          "Between two rounds of the planner."),
      durationKey(
          "planning.report_interval", milliseconds(100), minutes(10),
          [](auto& s) -> auto& { return s.node.controller.demand_period; },
          "Between two reports of a node's demand to the node that plans."),
  };
}

std::vector<SettingKey> engineSpeedKeys() {
  return {
      switchKey(
          "engine_speed.enabled",
          [](auto& s) -> auto& { return s.node.router.engine_speed.enabled; },
          "Whether the output speed of each engine is learned by the number of its streams, and "
          "streams are placed by their effect on all streams of an engine."),
      durationKey(
          "engine_speed.connection_discount", milliseconds(0), seconds(1),
          [](auto& s) -> auto& { return s.node.router.connection_discount; },
          "Time to first token that an idle connection to an engine saves; decides among near "
          "equals."),
  };
}

std::vector<SettingKey> retryKeys() {
  return {
      numberKey(
          "retries.fleet_share", 0, 1, [](auto& s) -> auto& { return s.node.retries.fleet_share; },
          "Repeats that all nodes together may make for each request of a service, in each "
          "window."),
      numberKey(
          "retries.fleet_burst", 0, 1e6,
          [](auto& s) -> auto& { return s.node.retries.fleet_burst; },
          "Repeats of a service that all nodes together may make beyond that share, in each "
          "window. "
          "The nodes divide it."),
      durationKey(
          "retries.window", seconds(1), minutes(10),
          [](auto& s) -> auto& { return s.node.retries.window; },
          "Span of time over which repeats are summed."),
      fleetRegionsKey(),
  };
}

std::vector<SettingKey> admissionKeys() {
  return {
      switchKey(
          "admission.fair_shares",
          [](auto& s) -> auto& { return s.node.fair_shares.divides_engines; },
          "While engines are short of room, they are divided max-min fair among the declared "
          "tenants, over all nodes."),
      switchKey(
          "admission.service_limits",
          [](auto& s) -> auto& { return s.node.fair_shares.limits_services; },
          "While back ends of a plain HTTP service are short of room, requests beyond what they "
          "answer in time are refused at once, by tenants' shares."),
      durationKey(
          "admission.share_interval", milliseconds(50), seconds(10),
          [](auto& s) -> auto& { return s.node.fair_share_accounts.report_interval; },
          "Between two reports of a node on what tenants ask of engines or back ends that are "
          "short "
          "of room; a millisecond more for each node of the zone."),
  };
}

std::vector<SettingKey> quarantineKeys() {
  return {
      countKey(
          "quarantine.crashes", 2, 100, [](auto& s) -> auto& { return s.node.quarantine.crashes; },
          "Engines or back ends that end under a request before it is kept from all."),
      durationKey(
          "quarantine.memory", seconds(10), hours(24),
          [](auto& s) -> auto& { return s.node.quarantine.memory; },
          "How long such an end is held against a request, and how long a request is kept away "
          "after it last came."),
  };
}

std::vector<SettingKey> checkpointKeys() {
  constexpr std::size_t kKibibyte = 1024;
  return {
      switchKey(
          "checkpoint.enabled", [](auto& s) -> auto& { return s.node.checkpoint.enabled; },
          "Keeps what the zone's nodes have learnt in the platform's store, for a restart of all."),
      durationKey(
          "checkpoint.interval", seconds(5), hours(1),
          [](auto& s) -> auto& { return s.node.checkpoint.interval; },
          "Between two writes of it, by one node of the zone, if anything has changed."),
      durationKey(
          "checkpoint.maximum_age", seconds(30), hours(24),
          [](auto& s) -> auto& { return s.node.checkpoint.maximum_age; },
          "What was saved longer ago is not used; longer than twice the interval."),
      countKey(
          "checkpoint.maximum_bytes", kKibibyte, 256 * kKibibyte,
          [](auto& s) -> auto& { return s.node.checkpoint.maximum_bytes; },
          "Size of the stored object at most; parts that don't fit are left out."),
  };
}

std::vector<SettingKey> dutyKeys() {
  return {
      optionalAddressKey(
          "duties.api", [](auto& s) -> auto& { return s.duty_api; },
          "Where the platform takes the calls that are the duty of one node of the whole fleet."),
      dutyNamesKey(),
      durationKey(
          "duties.usage_window", milliseconds(500), hours(24),
          [](auto& s) -> auto& { return s.node.duties.usage.window; },
          "Length of the windows of true time for which tenants' requests are counted."),
      durationKey(
          "duties.usage_due_after", seconds(1), hours(24),
          [](auto& s) -> auto& { return s.node.duties.usage.due_after; },
          "How long after its end a window's count has to be reported."),
  };
}

std::vector<SettingKey> autoscalingKeys() {
  constexpr std::size_t kMaximumEngines = 10000;
  return {
      autoscalingPolicyKey(),
      countKey(
          "autoscaling.fixed_lasting", 0, kMaximumEngines,
          [](auto& s) -> auto& { return s.node.autoscaling.fixed_lasting; },
          "Lasting engines in each location, with the policy fixed."),
      countKey(
          "autoscaling.fixed_preemptible", 0, kMaximumEngines,
          [](auto& s) -> auto& { return s.node.autoscaling.fixed_preemptible; },
          "Preemptible engines in each location, with the policy fixed."),
      numberKey(
          "autoscaling.utilisation_limit", 0.01, 1,
          [](auto& s) -> auto& { return s.node.autoscaling.utilisation_limit; },
          "Largest utilisation of the engines, with the policy threshold."),
      numberKey(
          "autoscaling.worth_of_work", 0, 1e6,
          [](auto& s) -> auto& { return s.node.autoscaling.worth_of_work; },
          "Worth of an engine's second of work on an answer in time, in prices of a second of a "
          "lasting engine, with the policy worth."),
      numberKey(
          "autoscaling.unevenness", 1, 100,
          [](auto& s) -> auto& { return s.node.autoscaling.unevenness; },
          "Utilisation of the engines that requests go to, relative to the mean of all, with the "
          "policy worth."),
      numberKey(
          "autoscaling.loss_share", 0, 1,
          [](auto& s) -> auto& { return s.node.autoscaling.loss_share; },
          "Part of the time for which a location's preemptible engines are taken to be gone, with "
          "the policy worth."),
      numberKey(
          "autoscaling.lasting_share", 0, 1,
          [](auto& s) -> auto& { return s.node.autoscaling.lasting_share; },
          "Share of each location's engines that is lasting where preemptible ones are cheaper; at "
          "least one is."),
      numberKey(
          "autoscaling.first_bill_share", 0, 1,
          [](auto& s) -> auto& { return s.node.autoscaling.first_bill_share; },
          "Until demand was seen, preemptible engines are ordered for this part of what the "
          "engines "
          "cost that were there at first."),
      durationKey(
          "autoscaling.memory", seconds(1), hours(24),
          [](auto& s) -> auto& { return s.node.autoscaling.memory; },
          "How long demand is remembered when engines are ordered."),
  };
}

std::vector<SettingKey> executionKeys() {
  return {
      switchKey(
          "execution.moves_slow_streams",
          [](auto& s) -> auto& { return s.node.execution.stream_moves.enabled; },
          "A running answer whose output is too slow for its deadline goes on at another engine, "
          "if it may be resumed and one is expected to complete it in time."),
      numberKey(
          "execution.moves_budget_share", 0.01, 1,
          [](auto& s) -> auto& { return s.node.execution.stream_moves.budget_share; },
          "Part of the repeats of a service that such moves may use in each retries.window."),
  };
}

std::vector<SettingKey> connectionKeys() {
  return {
      switchKey(
          "connections.keep", [](auto& s) -> auto& { return s.connections.keeps; },
          "Connections to engines and back ends are kept for requests that can be repeated; off: "
          "each request to them but reads takes a connection of its own."),
      durationKey(
          "connections.idle_limit", milliseconds(100), seconds(10),
          [](auto& s) -> auto& { return s.connections.idle_limit; },
          "Longest time that a kept connection may be idle, also where its server announces more."),
      countKey(
          "connections.per_server", 1, 1000000,
          [](auto& s) -> auto& { return s.node.connections.per_server; },
          "Connections that an engine or back end accepts from all nodes together. Connections are "
          "kept within each node's share of them."),
      countKey(
          "connections.idle", 1, 65536, [](auto& s) -> auto& { return s.connections.maximum_idle; },
          "Idle connections that a node keeps to all engines and back ends."),
  };
}

std::vector<SettingKey> mechanismKeys() {
  return {
      switchKey(
          "mechanisms.learnt_prompt_speeds",
          [](auto& s) -> auto& { return s.node.router.prompt_speed.learns; },
          "Speeds at which engines compute prompts are learnt; off: as declared or assumed."),
      switchKey(
          "mechanisms.learnt_output_speeds",
          [](auto& s) -> auto& { return s.node.router.output_speed.learns_steps; },
          "Times of decode steps are learnt; off: as declared or assumed."),
      switchKey(
          "mechanisms.admission_within_target",
          [](auto& s) -> auto& { return s.node.execution.admits_within_target; },
          "Requests are admitted if the first token is expected within the operators' target; off: "
          "within the time limit to the first token."),
      switchKey(
          "mechanisms.foretold_caches",
          [](auto& s) -> auto& { return s.node.directory.prefix_index.predicts_unreported; },
          "Engines are taken to hold what they are sent, and to give up what was unused for "
          "longest; off: only cache events and told ends of prompts count."),
      switchKey(
          "mechanisms.least_role_share",
          [](auto& s) -> auto& { return s.disaggregated_planner.enforces_minimum_share; },
          "A share of the engines stays in each role, with planning.automatic_roles; off: two "
          "engines."),
      switchKey(
          "mechanisms.gathered_long_answers",
          [](auto& s) -> auto& { return s.node.router.consolidates_long_answers; },
          "Long answers are gathered on few decode engines; off: spread over all."),
      switchKey(
          "mechanisms.remaining_stream_time",
          [](auto& s) -> auto& { return s.node.router.output_speed.learns_remaining_time; },
          "The wait for a place counts how long running streams go on, as learnt; off: by the "
          "reported tokens."),
      switchKey(
          "mechanisms.engine_ejection",
          [](auto& s) -> auto& { return s.node.directory.ejection.ejection_enabled; },
          "Engines at which attempts fail get no work for a short time; off: until load reports "
          "show it."),
      switchKey(
          "mechanisms.request_quarantine",
          [](auto& s) -> auto& { return s.node.quarantine.quarantines; },
          "Requests under which engines end one after the other are kept from all engines; off: "
          "they are sent on."),
      switchKey(
          "mechanisms.lost_path_detection",
          [](auto& s) -> auto& { return s.node.reachability.enabled; },
          "A node that can't open connections to any of several servers takes its links for lost, "
          "not the servers; off: each engine and back end is judged by itself."),
      switchKey(
          "mechanisms.forwarding", [](auto& s) -> auto& { return s.node.forwarding.enabled; },
          "A node that has lost its links to all servers has its callers' requests executed by "
          "other nodes; off: it rejects them."),
      switchKey(
          "mechanisms.engine_rate_limits",
          [](auto& s) -> auto& { return s.node.rate_limits.enforced; },
          "Engines and back ends that name a limit on requests get no more than that from all "
          "nodes "
          "together; off: limits are told of, and not kept."),
      switchKey(
          "mechanisms.copied_prefixes", [](auto& s) -> auto& { return s.copied_prefixes; },
          "Engines copy cached prefixes from one another, where they can; off: they compute them."),
  };
}

}  // namespace cypresswall::settings
