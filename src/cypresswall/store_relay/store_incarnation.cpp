#include "cypresswall/store_relay/store_incarnation.h"

#include <utility>

namespace cypresswall::store_relay {

StoreIncarnation::StoreIncarnation(const api::ProcessContext& context)
    : context_(context),
      changes_(context.counters.counter("cypresswall_store_restores_total",
                                        "Times that the store came back from a copy")),
      outdated_(context.counters.counter(
          "cypresswall_store_incarnation_outdated_total",
          "Answers and messages from before the store came back from a copy")) {}

bool StoreIncarnation::observe(std::uint64_t incarnation, const char* source) {
  if (incarnation == 0 || incarnation == current_) {
    return true;
  }
  if (incarnation < current_) {
    outdated_.add();
    return false;
  }
  const std::uint64_t before = std::exchange(current_, incarnation);
  if (before != 0) {
    restored_ = true;
    changes_.add();
    common::LogEvent(context_.log, common::LogLevel::kWarning, "store_restored")
        .field("incarnation", incarnation)
        .field("before", before)
        .field("source", source);
  }
  for (const Listener& listener : listeners_) {
    listener();
  }
  return true;
}

}  // namespace cypresswall::store_relay
