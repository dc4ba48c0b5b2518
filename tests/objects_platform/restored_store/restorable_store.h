/// The platform's store in virtual time, with listings, watches and revisions. It can be away, and
/// come back from a copy: changes after the copy are then lost, and their revisions given out
/// again.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/simulation/simulation.h"
#include "platform/store_calls.h"
#include "platform/wire.h"

namespace cypresswall::objects_platform::testing {

class RestorableStore {
 public:
  void put(const std::string& kind, const std::string& name, wire::Json spec) {
    Object& object = state_.objects[{kind, name}];
    object = {++state_.revision, std::move(spec)};
    changes_.push_back({kind, name, object.revision, object.spec, false});
  }
  void erase(const std::string& kind, const std::string& name) {
    if (state_.objects.erase({kind, name}) != 0) {
      changes_.push_back({kind, name, ++state_.revision, {}, true});
    }
  }
  bool contains(const std::string& kind, const std::string& name) const {
    return state_.objects.contains({kind, name});
  }
  /// \return the names and contents of all objects of a kind
  std::map<std::string, wire::Json> all(const std::string& kind) const {
    std::map<std::string, wire::Json> found;
    for (const auto& [key, object] : state_.objects) {
      if (key.first == kind) {
        found[key.second] = object.spec;
      }
    }
    return found;
  }
  std::uint64_t revision() const { return state_.revision; }

  /// Takes the copy from which restore() restores.
  void copy() { copy_ = state_; }
  void goAway() { away_ = true; }
  void restore() {
    state_ = copy_;
    changes_.clear();
    first_revision_ = state_.revision;
    ++incarnation_;
    away_ = false;
  }
  bool away() const { return away_; }
  std::uint64_t incarnation() const { return incarnation_; }

  /// \param waited true if the call has waited for changes as long as it asked for
  /// \return the answer, or nothing while a watch waits for changes
  std::optional<runtime::CurlResponse> answer(const std::string& target, bool waited) const {
    const std::string kind = target.substr(kPrefix.size(), target.find('?') - kPrefix.size());
    const auto since = numberIn(target, "watch=");
    if (!since) {
      return response(200, page(kind));
    }
    if (*since > state_.revision || *since < first_revision_) {
      return response(410, "{}");
    }
    const wire::Json events = changesSince(kind, *since);
    if (events.empty() && !waited) {
      return std::nullopt;
    }
    return response(200, wire::Json{{"events", events}, {"at", state_.revision}});
  }
  static std::optional<std::uint64_t> numberIn(const std::string& target, const std::string& name) {
    const auto position = target.find(name);
    if (position == std::string::npos) {
      return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(target.data() + position + name.size(), target.data() + target.size(), value);
    return value;
  }

 private:
  struct Object {
    std::uint64_t revision = 0;
    wire::Json spec;
  };
  struct State {
    std::uint64_t revision = 0;
    std::map<std::pair<std::string, std::string>, Object> objects;
  };
  struct Change {
    std::string kind;
    std::string name;
    std::uint64_t revision = 0;
    wire::Json spec;
    bool deleted = false;
  };
  static constexpr std::string_view kPrefix = "/objects/";

  static wire::Json objectJson(const std::string& name, std::uint64_t revision,
                               const wire::Json& spec) {
    return {{"metadata", {{"name", name}, {"revision", revision}}}, {"spec", spec}};
  }
  wire::Json page(const std::string& kind) const {
    wire::Json items = wire::Json::array();
    for (const auto& [key, object] : state_.objects) {
      if (key.first == kind) {
        items.push_back(objectJson(key.second, object.revision, object.spec));
      }
    }
    return {{"items", items}, {"has_more", false}, {"at", state_.revision}};
  }
  wire::Json changesSince(const std::string& kind, std::uint64_t revision) const {
    wire::Json events = wire::Json::array();
    for (const Change& change : changes_) {
      if (change.kind == kind && change.revision > revision) {
        events.push_back({{"gone", change.deleted},
                          {"object", objectJson(change.name, change.revision, change.spec)}});
      }
    }
    return events;
  }
  runtime::CurlResponse response(int status, const wire::Json& body) const {
    runtime::CurlResponse answer;
    answer.outcome = runtime::CurlOutcome::kAnswered;
    answer.status = status;
    answer.headers = {{"Store-Era", std::to_string(incarnation_)}};
    answer.body = body.dump();
    return answer;
  }

  State state_;
  State copy_;
  std::vector<Change> changes_;
  /// Watches from earlier revisions than this get 410.
  std::uint64_t first_revision_ = 0;
  std::uint64_t incarnation_ = 1;
  bool away_ = false;
};

/// The calls of one node to the store.
class RestorableStoreCalls final : public StoreCalls {
 public:
  RestorableStoreCalls(RestorableStore& store, simulation::SimulatedProcess& process)
      : store_(store), process_(process) {}

  void fetch(runtime::CurlRequest request, StoreAnswer answer) override {
    const auto wait = RestorableStore::numberIn(request.target, "wait_ms=").value_or(0);
    process_.deliverAfter(kLatency, [this, target = request.target, answer = std::move(answer),
                                     wait, incarnation = store_.incarnation()] {
      ask(target, std::chrono::milliseconds(wait), incarnation, answer);
    });
  }

 private:
  static constexpr common::Duration kLatency = std::chrono::milliseconds(4);
  static constexpr common::Duration kStep = std::chrono::milliseconds(10);

  /// \param incarnation that of the store when the call was made: a call does not outlast it
  void ask(const std::string& target, common::Duration left, std::uint64_t incarnation,
           const StoreAnswer& answer) {
    if (store_.away() || store_.incarnation() != incarnation) {
      runtime::CurlResponse reset;
      reset.outcome = runtime::CurlOutcome::kBroken;
      reset.error = "connection reset";
      answer(reset);
      return;
    }
    if (const auto response = store_.answer(target, left <= common::Duration{0})) {
      process_.deliverAfter(kLatency, [answer, response = *response] { answer(response); });
      return;
    }
    process_.deliverAfter(kStep, [this, target, left, incarnation, answer] {
      ask(target, left - kStep, incarnation, answer);
    });
  }

  RestorableStore& store_;
  simulation::SimulatedProcess& process_;
};

}  // namespace cypresswall::objects_platform::testing
