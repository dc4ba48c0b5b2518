#include "cypresswall/emulation/service.h"

#include <nlohmann/json.hpp>

namespace cypresswall::emulation {
namespace {

/// Decrements the number of calls to which a fault still applies, unless it is zero.
/// \return true if the fault applies to this call
bool consumeOne(std::uint32_t& remaining) {
  if (remaining == 0) {
    return false;
  }
  --remaining;
  return true;
}

}  // namespace

void EmulatedService::handle(const EmulatedServiceCall& call,
                             std::function<void(EmulatedServiceAnswer)> callback) {
  EmulatedServiceAnswer answer;
  answer.rate_limit = faults_.rate_limit;
  answer.leaving = faults_.leaving;
  if (faults_.pause || consumeOne(faults_.refuse_next)) {
    answer.pause = faults_.pause;
    answer.end = EmulatedServiceOutcome::kRefused;
    answer.status = 503;
    answer.body = R"({"error":"busy"})";
  } else if (consumeOne(faults_.break_before_run)) {
    answer.end = EmulatedServiceOutcome::kBroken;
  } else {
    execute(call);
    answer.end = consumeOne(faults_.break_after_run) ? EmulatedServiceOutcome::kBroken
                                                     : EmulatedServiceOutcome::kAnswered;
    answer.body = expectedBody(call);
  }
  scheduler_.schedule(answer_time_ + faults_.delay,
                      [answer, callback = std::move(callback)] { callback(answer); });
}

void EmulatedService::execute(const EmulatedServiceCall& call) {
  ServiceExecutionEntry& entry = executions_[{call.request_id, call.key}];
  entry.request_id = call.request_id;
  entry.key = call.key;
  entry.method = call.method;
  entry.path = call.path;
  ++entry.count;
}

std::vector<ServiceExecutionEntry> EmulatedService::executions() const {
  std::vector<ServiceExecutionEntry> entries;
  entries.reserve(executions_.size());
  for (const auto& [key, entry] : executions_) {
    entries.push_back(entry);
  }
  return entries;
}

std::uint32_t EmulatedService::executionsOfKey(const std::string& key) const {
  std::uint32_t count = 0;
  for (const auto& [id, entry] : executions_) {
    count += entry.key == key ? entry.count : 0;
  }
  return count;
}

std::uint32_t EmulatedService::executionsOfRequest(const std::string& request_id) const {
  std::uint32_t count = 0;
  for (auto entry = executions_.lower_bound({request_id, ""});
       entry != executions_.end() && entry->first.first == request_id; ++entry) {
    count += entry->second.count;
  }
  return count;
}

std::string EmulatedService::expectedBody(const EmulatedServiceCall& call) const {
  const nlohmann::json body = {{"service", name_},  {"request_id", call.request_id},
                               {"key", call.key},   {"method", call.method},
                               {"path", call.path}, {"echo", call.body}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace cypresswall::emulation
