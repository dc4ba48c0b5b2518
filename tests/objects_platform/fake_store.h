/// Fake of the calls to the platform's store: records the calls, and answers each when the test
/// says so.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "platform/store_calls.h"
#include "platform/wire.h"

namespace cypresswall::objects_platform::testing {

class FakeStore final : public StoreCalls {
 public:
  struct Call {
    runtime::CurlRequest request;
    StoreAnswer answer;
  };

  void fetch(runtime::CurlRequest request, StoreAnswer answer) override {
    targets.push_back(request.method + " " + request.target);
    bodies.push_back(request.body);
    calls.push_back({std::move(request), std::move(answer)});
  }

  /// Answers the oldest pending call.
  void answer(int status, const std::string& body) {
    runtime::CurlResponse response;
    response.outcome = runtime::CurlOutcome::kAnswered;
    response.status = status;
    response.body = body;
    complete(response);
  }
  /// Fails the oldest pending call without an answer.
  void fail(runtime::CurlOutcome outcome) {
    runtime::CurlResponse response;
    response.outcome = outcome;
    response.error = "cut";
    complete(response);
  }

  std::deque<Call> calls;
  std::vector<std::string> targets;
  std::vector<std::string> bodies;

 private:
  void complete(const runtime::CurlResponse& response) {
    const Call call = std::move(calls.front());
    calls.pop_front();
    call.answer(response);
  }
};

/// \return an object of the store as JSON.
inline std::string objectJson(const std::string& name, std::uint64_t revision,
                              const std::string& spec = "{}") {
  return R"({"metadata": {"name": ")" + name + R"(", "revision": )" + std::to_string(revision) +
         R"(, "created": 1, "finalizers": [], "deletion_requested": false}, "spec": )" + spec +
         R"(, "status": null})";
}

inline std::string joined(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ", ") + item;
  }
  return text;
}

inline std::string pageJson(std::uint64_t at, const std::vector<std::string>& objects,
                            bool has_more = false) {
  return R"({"items": [)" + joined(objects) + R"(], "has_more": )" + (has_more ? "true" : "false") +
         R"(, "at": )" + std::to_string(at) + "}";
}

/// \param events objects as JSON, each with whether it is deleted
inline std::string eventsJson(std::uint64_t at,
                              const std::vector<std::pair<std::string, bool>>& events) {
  std::vector<std::string> items;
  items.reserve(events.size());
  for (const auto& [object, deleted] : events) {
    items.push_back(R"({"gone": )" + std::string(deleted ? "true" : "false") + R"(, "object": )" +
                    object + "}");
  }
  return R"({"events": [)" + joined(items) + R"(], "at": )" + std::to_string(at) + "}";
}

}  // namespace cypresswall::objects_platform::testing
