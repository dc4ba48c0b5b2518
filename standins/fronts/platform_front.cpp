#include "standins/fronts/platform_front.h"

#include <algorithm>
#include <utility>

namespace cypresswall::standins {

using nlohmann::json;
using object_store::MachineState;
using object_store::StoreFailure;

namespace {

constexpr const char* kObjectPrefix = "/objects/";
constexpr std::uint64_t kLongestWatchMilliseconds = 60'000;

const char* toString(MachineState state) {
  switch (state) {
    case MachineState::kLive:
      return "live";
    case MachineState::kLeaving:
      return "leaving";
    case MachineState::kGone:
      return "gone";
  }
  return "gone";
}

MachineState parseState(const std::string& text) {
  for (const auto state : {MachineState::kLive, MachineState::kLeaving, MachineState::kGone}) {
    if (text == toString(state)) {
      return state;
    }
  }
  throw RequestError("state: unknown value " + text);
}

std::string queryOr(const http::Request& request, const std::string& name,
                    const std::string& fallback) {
  const auto value = request.query.find(name);
  return value == request.query.end() ? fallback : value->second;
}

}  // namespace

void PlatformFront::handle(const http::Request& request, const ResponderPointer& responder) {
  respondingToErrors(responder, [&] { route(request, responder); });
}

void PlatformFront::route(const http::Request& request, const ResponderPointer& responder) {
  const std::string call = request.method + " " + request.path;
  if (request.path.starts_with(kObjectPrefix)) {
    const std::string key = request.path.substr(std::string(kObjectPrefix).size());
    if (request.method == "GET") {
      getObject(key, responder);
    } else if (request.method == "PUT") {
      putObject(key, request, responder);
    } else {
      respondError(*responder, 405, "GET or PUT");
    }
  } else if (call == "GET /objects") {
    listObjects(request, responder);
  } else if (call == "GET /watch") {
    watchObjects(request, responder);
  } else if (call == "GET /machines") {
    listMachines(request, responder);
  } else if (call == "GET /weights") {
    fetchWeights(request, responder);
  } else if (call == "POST /admin/machines") {
    setMachine(request, responder);
  } else if (call == "POST /admin/faults") {
    setFaults(request, responder);
  } else if (call == "GET /admin/ledger") {
    respondJson(*responder, 200, encodeLedger());
  } else {
    respondError(*responder, 404, "no such call");
  }
}

void PlatformFront::getObject(const std::string& key, const ResponderPointer& responder) {
  store_.get(key, [this, key, responder](const auto& result) {
    if (result.ok()) {
      respondJson(*responder, 200, encodeObject(result.value()));
    } else {
      respondFailure(result.failure(), key, responder);
    }
  });
}

void PlatformFront::putObject(const std::string& key, const http::Request& request,
                              const ResponderPointer& responder) {
  const json body = parseObject(request.body);
  object_store::ObjectWrite write;
  write.key = key;
  write.expected_version = requiredField<std::uint64_t>(body, "expected_version");
  write.value = requiredField<std::string>(body, "value");
  write.change_id = fieldOr<std::string>(body, "change_id", "");
  store_.compareAndSet(std::move(write), [this, key, responder](const auto& result) {
    if (result.ok()) {
      respondJson(*responder, 200, encodeObject(result.value()));
    } else {
      respondFailure(result.failure(), key, responder);
    }
  });
}

void PlatformFront::listObjects(const http::Request& request, const ResponderPointer& responder) {
  store_.list(queryOr(request, "prefix", ""), [this, responder](const auto& result) {
    if (result.ok()) {
      respondJson(*responder, 200, encodeListing(result.value()));
    } else {
      respondFailure(result.failure(), "", responder);
    }
  });
}

void PlatformFront::watchObjects(const http::Request& request, const ResponderPointer& responder) {
  const std::uint64_t wait =
      std::min(queryNumberOr(request, "wait_ms", 5000), kLongestWatchMilliseconds);
  store_.watchFor(queryOr(request, "prefix", ""), queryNumberOr(request, "after", 0),
                  std::chrono::milliseconds(wait), [this, responder](const auto& result) {
                    if (result.ok()) {
                      respondJson(*responder, 200, encodeListing(result.value()));
                    } else {
                      respondFailure(result.failure(), "", responder);
                    }
                  });
}

void PlatformFront::respondFailure(const common::Failure<StoreFailure>& failure,
                                   const std::string& key,
                                   const ResponderPointer& responder) const {
  switch (failure.kind) {
    case StoreFailure::kUnavailable:
      respondError(*responder, 503, failure.message);
      return;
    case StoreFailure::kUnknownOutcome:
      responder->abort();
      return;
    case StoreFailure::kConflict:
      respondJson(*responder, 409, encodeObject(store_.peek(key)));
      return;
    case StoreFailure::kNotFound:
      respondError(*responder, 404, failure.message);
      return;
    case StoreFailure::kCompacted:
      respondError(*responder, 410, failure.message);
      return;
  }
}

void PlatformFront::listMachines(const http::Request& request, const ResponderPointer& responder) {
  machines_.fetch(queryOr(request, "zone", ""), [responder](const auto& result) {
    if (!result.ok()) {
      respondError(*responder, 503, result.failure().message);
      return;
    }
    json list = json::array();
    for (const object_store::Machine& machine : result.value()) {
      list.push_back({{"name", machine.name},
                      {"zone", machine.zone},
                      {"state", toString(machine.state)},
                      {"addresses", machine.addresses}});
    }
    respondJson(*responder, 200, {{"machines", std::move(list)}});
  });
}

void PlatformFront::setMachine(const http::Request& request, const ResponderPointer& responder) {
  const json body = parseObject(request.body);
  object_store::Machine machine;
  machine.name = requiredField<std::string>(body, "name");
  machine.zone = requiredField<std::string>(body, "zone");
  machine.state = parseState(fieldOr<std::string>(body, "state", "live"));
  machine.addresses = requiredField<std::vector<std::string>>(body, "addresses");
  if (fieldOr(body, "at_once", false)) {
    machines_.setWithoutLag(std::move(machine));
  } else {
    machines_.set(std::move(machine));
  }
  responder->respond(204, {}, "");
}

void PlatformFront::fetchWeights(const http::Request& request, const ResponderPointer& responder) {
  const std::string uri = queryOr(request, "uri", "");
  if (uri.empty()) {
    throw RequestError("uri is missing");
  }
  weights_.fetch(uri, [responder, uri](const emulation::WeightTransfer& transfer) {
    if (transfer.complete) {
      respondJson(*responder, 200, {{"uri", uri}, {"bytes", transfer.bytes}});
      return;
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(transfer.retry_after).count();
    respondJson(*responder, 429, {{"error", "too many transfers"}},
                {{"Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1))}});
  });
}

void PlatformFront::setFaults(const http::Request& request, const ResponderPointer& responder) {
  const json body = parseObject(request.body);
  emulation::ObjectStoreFaults faults = store_.faults();
  faults.down = fieldOr(body, "down", faults.down);
  faults.delay = millisecondsOr(body, "delay_ms", faults.delay);
  faults.lose_next_answers = fieldOr(body, "lose_next_answers", faults.lose_next_answers);
  faults.watch_gap = fieldOr(body, "watch_gap", faults.watch_gap);
  store_.setFaults(faults);
  if (body.contains("restore_to_revision")) {
    store_.restoreToRevision(requiredField<std::uint64_t>(body, "restore_to_revision"));
  }
  if (body.contains("machine_list_down")) {
    machines_.setDown(requiredField<bool>(body, "machine_list_down"));
  }
  responder->respond(204, {}, "");
}

json PlatformFront::encodeObject(const object_store::StoredObject& object) const {
  return {{"key", object.key},
          {"version", object.version},
          {"value", object.value},
          {"change_id", object.change_id},
          {"revision", store_.revisionOf(object.key)}};
}

json PlatformFront::encodeListing(const object_store::ObjectListing& listing) const {
  json objects = json::array();
  for (const object_store::StoredObject& object : listing.objects) {
    objects.push_back(encodeObject(object));
  }
  return {{"revision", listing.revision}, {"objects", std::move(objects)}};
}

json PlatformFront::encodeLedger() const {
  const emulation::ObjectStoreLedger& ledger = store_.ledger();
  json writes = json::array();
  for (const emulation::ObjectWriteEntry& entry : ledger.writes) {
    writes.push_back({{"key", entry.write.key},
                      {"expected_version", entry.write.expected_version},
                      {"change_id", entry.write.change_id},
                      {"took_effect", entry.took_effect},
                      {"answer_lost", entry.answer_lost},
                      {"revision", entry.revision}});
  }
  return {{"writes", std::move(writes)},
          {"counts",
           {{"reads", ledger.reads},
            {"lists", ledger.lists},
            {"watches", ledger.watches},
            {"answers_lost", ledger.answers_lost},
            {"refused_while_down", ledger.refused_while_down},
            {"restores", ledger.restores}}}};
}

}  // namespace cypresswall::standins
