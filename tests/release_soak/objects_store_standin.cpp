#include "tests/release_soak/objects_store_standin.h"

#include <algorithm>
#include <charconv>

namespace cypresswall::testing {
namespace {

using nlohmann::json;

constexpr std::size_t kPageObjects = 500;
constexpr std::uint64_t kLongestWaitMilliseconds = 30'000;
constexpr const char* kPrefix = "/objects/";

std::uint64_t numberOr(const http::Request& request, const std::string& name,
                       std::uint64_t fallback) {
  const auto found = request.query.find(name);
  std::uint64_t number = fallback;
  if (found != request.query.end()) {
    std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
  }
  return number;
}

void respond(http::Responder& responder, int status, const json& body) {
  responder.respond(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                    body.dump());
}

json newObject(const std::string& name) {
  return {{"metadata",
           {{"name", name},
            {"revision", 0},
            {"created", 1},
            {"finalizers", json::array()},
            {"deletion_requested", false}}},
          {"spec", json::object()},
          {"status", nullptr}};
}

}  // namespace

ObjectsStoreStandin::ObjectsStoreStandin(asio::io_context& context, const std::string& address)
    : context_(context) {
  http::ServerSettings settings;
  settings.address = address;
  server_ = http::makeServer(
      context, std::move(settings),
      [this](const http::Request& request, const auto& responder) { handle(request, responder); });
  server_->start();
}

void ObjectsStoreStandin::put(const std::string& kind, const std::string& name, const json& spec) {
  const auto known = objects_.find({kind, name});
  json object = known == objects_.end() ? newObject(name) : known->second;
  if (known == objects_.end() || object["spec"] != spec) {
    object["spec"] = spec;
    commit({kind, name}, std::move(object), false);
  }
}

void ObjectsStoreStandin::erase(const std::string& kind, const std::string& name) {
  const auto known = objects_.find({kind, name});
  if (known != objects_.end()) {
    commit({kind, name}, known->second, true);
  }
}

void ObjectsStoreStandin::setDown(bool down) {
  down_ = down;
  if (down) {
    for (const auto& watch : watches_) {
      watch->responder->abort();
    }
    watches_.clear();
  }
}

void ObjectsStoreStandin::handle(const http::Request& request, const ResponderPointer& responder) {
  if (down_) {
    responder->abort();
    return;
  }
  if (!request.path.starts_with(kPrefix)) {
    respond(*responder, 404, json::object());
    return;
  }
  const std::string rest = request.path.substr(std::string(kPrefix).size());
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.method != "GET") {
    change({kind, name}, request, responder);
  } else if (request.query.contains("watch")) {
    watch(kind, request, responder);
  } else if (name.empty()) {
    list(kind, request, responder);
  } else {
    const auto known = objects_.find({kind, name});
    respond(*responder, known == objects_.end() ? 404 : 200,
            known == objects_.end() ? json::object() : known->second);
  }
}

void ObjectsStoreStandin::list(const std::string& kind, const http::Request& request,
                               const ResponderPointer& responder) const {
  const auto after = request.query.find("after");
  json items = json::array();
  bool has_more = false;
  for (const auto& [key, object] : objects_) {
    if (key.first != kind || (after != request.query.end() && key.second <= after->second)) {
      continue;
    }
    has_more = items.size() == kPageObjects;
    if (has_more) {
      break;
    }
    items.push_back(object);
  }
  respond(*responder, 200,
          {{"items", std::move(items)}, {"has_more", has_more}, {"at", revision_}});
}

void ObjectsStoreStandin::watch(const std::string& kind, const http::Request& request,
                                const ResponderPointer& responder) {
  const auto since = numberOr(request, "watch", 0);
  if (since > revision_) {
    respond(*responder, 410, json::object());
    return;
  }
  const auto wait = std::min(numberOr(request, "wait_ms", 0), kLongestWaitMilliseconds);
  const auto waiting = std::make_shared<Watch>(context_, responder, kind, since);
  watches_.push_back(waiting);
  waiting->timer.expires_after(std::chrono::milliseconds(wait));
  waiting->timer.async_wait([this, weak = std::weak_ptr(waiting)](const asio::error_code& error) {
    const auto ended = weak.lock();
    if (!error && ended != nullptr) {
      watches_.remove(ended);
      respond(*ended->responder, 200, {{"events", json::array()}, {"at", revision_}});
    }
  });
  answerWatches();
}

void ObjectsStoreStandin::answerWatches() {
  watches_.remove_if([this](const auto& watch) {
    json events = changesSince(watch->kind, watch->since);
    if (events.empty()) {
      return false;
    }
    respond(*watch->responder, 200, {{"events", std::move(events)}, {"at", revision_}});
    return true;
  });
}

json ObjectsStoreStandin::changesSince(const std::string& kind, std::uint64_t revision) const {
  json events = json::array();
  for (const Change& change : changes_) {
    if (change.revision > revision && change.kind == kind) {
      events.push_back({{"object", change.object}, {"gone", change.gone}});
    }
  }
  return events;
}

void ObjectsStoreStandin::change(const Key& key, const http::Request& request,
                                 const ResponderPointer& responder) {
  const json body = json::parse(request.body, nullptr, false);
  const json metadata = body.is_object() ? body.value("metadata", json::object()) : json::object();
  const Key named = {key.first, key.second.empty() ? metadata.value("name", "") : key.second};
  const auto known = objects_.find(named);
  const bool creates = request.method == "POST";
  const auto expected = metadata.value("revision", numberOr(request, "revision", 0));
  if (creates != (known == objects_.end())) {
    respond(*responder, creates ? 409 : 404, creates ? known->second : json::object());
    return;
  }
  if (!creates && expected != 0 && expected != known->second["metadata"]["revision"]) {
    respond(*responder, 409, known->second);
    return;
  }
  if (request.method == "DELETE") {
    const json removed = known->second;
    erase(named.first, named.second);
    respond(*responder, 200, removed);
    return;
  }
  json object = creates ? newObject(named.second) : known->second;
  object["spec"] = body.value("spec", json::object());
  commit(named, std::move(object), false);
  respond(*responder, 200, objects_.at(named));
}

void ObjectsStoreStandin::commit(const Key& key, json object, bool gone) {
  object["metadata"]["revision"] = ++revision_;
  changes_.push_back({revision_, key.first, object, gone});
  if (gone) {
    objects_.erase(key);
  } else {
    objects_[key] = std::move(object);
  }
  answerWatches();
}

}  // namespace cypresswall::testing
