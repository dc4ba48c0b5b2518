#include "tests/objects_platform/processes/store_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cypresswall::objects_platform::testing {
namespace {

using nlohmann::json;

constexpr const char* kPathPrefix = "/objects/";
constexpr std::size_t kPageObjects = 500;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

void respond(http::Responder& responder, int status, std::string body) {
  responder.respond(status, {{"Content-Type", "application/json"}}, std::move(body));
}

std::string objectText(const std::string& name, std::uint64_t revision, const std::string& spec) {
  const json metadata = {{"name", name},
                         {"revision", revision},
                         {"created", 1},
                         {"finalizers", json::array()},
                         {"deletion_requested", false}};
  return R"({"metadata":)" + metadata.dump() + R"(,"spec":)" + spec + R"(,"status":null})";
}

std::uint64_t numberOf(const http::Request& request, const std::string& name) {
  const auto value = request.query.find(name);
  return value == request.query.end() ? 0 : std::stoull(value->second);
}

std::string joined(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ",") + item;
  }
  return text;
}

/// \return the kind and the name in the path; the name is empty if the path has none
std::pair<std::string, std::string> keyOf(const std::string& path) {
  const std::string rest = path.substr(std::string(kPathPrefix).size());
  const auto slash = rest.find('/');
  return {rest.substr(0, slash), slash == std::string::npos ? "" : rest.substr(slash + 1)};
}

}  // namespace

void StoreStandin::handle(const http::Request& request, const Responder& responder) {
  switch (condition_) {
    case StoreCondition::kHealthy:
      answer(request, responder);
      break;
    case StoreCondition::kSilent:
      unanswered_.push_back(responder);
      break;
    case StoreCondition::kClosesConnections:
      responder->abort();
      break;
    case StoreCondition::kUnavailable:
      respond(*responder, kUnavailable, "");
      break;
  }
}

void StoreStandin::answer(const http::Request& request, const Responder& responder) {
  if (request.path.rfind(kPathPrefix, 0) != 0) {
    respond(*responder, kNotFound, "");
    return;
  }
  const Key key = keyOf(request.path);
  if (request.method != "GET") {
    write(request, key, responder);
  } else if (!key.second.empty()) {
    respondObject(responder, kOk, key);
  } else if (request.query.contains("watch")) {
    startWatch(key.first, request, responder);
  } else {
    list(key.first, request, responder);
  }
}

void StoreStandin::list(const std::string& kind, const http::Request& request,
                        const Responder& responder) {
  const auto after = request.query.find("after");
  const std::string first = after == request.query.end() ? "" : after->second;
  std::vector<std::string> items;
  bool more = false;
  for (auto at = objects_.upper_bound({kind, first}); at != objects_.end(); ++at) {
    if (at->first.first != kind) {
      break;
    }
    more = items.size() == kPageObjects;
    if (more) {
      break;
    }
    items.push_back(at->second.text);
  }
  respond(*responder, kOk,
          R"({"items":[)" + joined(items) + R"(],"has_more":)" + (more ? "true" : "false") +
              R"(,"at":)" + std::to_string(revision_) + "}");
}

void StoreStandin::startWatch(const std::string& kind, const http::Request& request,
                              const Responder& responder) {
  const Watch watch{++watches_begun_, kind, numberOf(request, "watch"), responder};
  if (watch.since > revision_) {
    respond(*responder, kGone, "");
    return;
  }
  if (answerWatch(watch, false)) {
    return;
  }
  watches_.push_back(watch);
  scheduler_.schedule(std::chrono::milliseconds(numberOf(request, "wait_ms")),
                      [this, number = watch.number] { endWatch(number); });
}

bool StoreStandin::answerWatch(const Watch& watch, bool due) const {
  std::vector<std::string> events;
  for (const Change& change : changes_) {
    if (change.kind == watch.kind && change.revision > watch.since) {
      events.push_back(change.event);
    }
  }
  if (events.empty() && !due) {
    return false;
  }
  respond(*watch.responder, kOk,
          R"({"events":[)" + joined(events) + R"(],"at":)" + std::to_string(revision_) + "}");
  return true;
}

void StoreStandin::endWatch(std::uint64_t number) {
  watches_.remove_if(
      [&](const Watch& watch) { return watch.number == number && answerWatch(watch, true); });
}

void StoreStandin::write(const http::Request& request, Key key, const Responder& responder) {
  const json body = json::parse(request.body, nullptr, false);
  const json metadata = body.is_object() ? body.value("metadata", json::object()) : json::object();
  if (key.second.empty()) {
    key.second = metadata.value("name", "");
  }
  const auto known = objects_.find(key);
  const bool creates = request.method == "POST";
  if (!creates && known == objects_.end()) {
    respond(*responder, kNotFound, "");
    return;
  }
  const auto expected = metadata.value("revision", numberOf(request, "revision"));
  if (known != objects_.end() &&
      (creates || (expected != 0 && expected != known->second.revision))) {
    respondObject(responder, kConflict, key);
    return;
  }
  if (request.method == "DELETE") {
    respondObject(responder, kOk, key);
    remove(key.first, key.second);
    return;
  }
  put(key.first, key.second, body.value("spec", json()).dump());
  respondObject(responder, kOk, key);
}

void StoreStandin::respondObject(const Responder& responder, int status, const Key& key) const {
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    respond(*responder, kNotFound, "");
  } else {
    respond(*responder, status, found->second.text);
  }
}

void StoreStandin::put(const std::string& kind, const std::string& name, const std::string& spec) {
  putWhole(kind, name, objectText(name, revision_ + 1, spec));
}

void StoreStandin::putWhole(const std::string& kind, const std::string& name,
                            const std::string& object) {
  objects_[{kind, name}] = {revision_ + 1, object};
  record({kind, name}, object, false);
}

void StoreStandin::remove(const std::string& kind, const std::string& name) {
  const auto found = objects_.find({kind, name});
  if (found != objects_.end()) {
    objects_.erase(found);
    record({kind, name}, objectText(name, revision_ + 1, "{}"), true);
  }
}

void StoreStandin::record(const Key& key, const std::string& text, bool gone) {
  ++revision_;
  std::string event = R"({"gone":)";
  event.append(gone ? "true" : "false").append(R"(,"object":)").append(text).append("}");
  changes_.push_back({revision_, key.first, std::move(event)});
  watches_.remove_if(
      [&](const Watch& watch) { return watch.kind == key.first && answerWatch(watch, false); });
}

std::vector<std::string> StoreStandin::names(const std::string& kind) const {
  std::vector<std::string> found;
  for (const auto& [key, object] : objects_) {
    if (key.first == kind) {
      found.push_back(key.second);
    }
  }
  return found;
}

void StoreStandin::setCondition(StoreCondition condition) {
  condition_ = condition;
  for (const Watch& watch : watches_) {
    watch.responder->abort();
  }
  watches_.clear();
}

}  // namespace cypresswall::objects_platform::testing
