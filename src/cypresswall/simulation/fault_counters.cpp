#include "cypresswall/simulation/fault_counters.h"

namespace cypresswall::simulation {

const char* toString(FaultKind kind) {
  static constexpr std::array<const char*, static_cast<std::size_t>(FaultKind::kCount)> kNames{
      "kill",
      "pause",
      "cut",
      "one_way_cut",
      "cut_inside_zone",
      "message_cut",
      "message_lost",
      "message_duplicated",
      "message_reordered",
      "store_outage",
      "store_slow",
      "store_answer_lost",
      "store_watch_gap",
      "store_restored",
      "machine_leaving",
      "engine_crash",
      "engine_crash_in_change",
      "engine_answer_lost",
      "engine_answer_late",
      "stream_broken",
      "service_broken_before",
      "service_broken_after",
      "service_answer_late",
      "service_refused",
      "lease_expired",
      "operator_race",
      "planned_stop"};
  return kind < FaultKind::kCount ? kNames[static_cast<std::size_t>(kind)] : "unknown";
}

void FaultCounters::merge(const FaultCounters& other) {
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    values_[kind] += other.values_[kind];
  }
}

std::string FaultCounters::summary() const {
  std::string text;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    if (values_[kind] == 0) {
      continue;
    }
    text += text.empty() ? "" : " ";
    text += toString(static_cast<FaultKind>(kind));
    text += '=';
    text += std::to_string(values_[kind]);
  }
  return text;
}

}  // namespace cypresswall::simulation
