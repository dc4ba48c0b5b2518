#include "cypresswall/engines/engine_json.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace cypresswall::engines {
namespace {

using Json = nlohmann::json;

constexpr int kHexBase = 16;

/// Maximum length of the part of an unparseable answer that is quoted in an error message.
constexpr std::size_t kMaximumQuotedBytes = 200;

std::string dumpJson(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json epochJson(const common::Epoch& epoch) {
  return {{"generation", epoch.generation}, {"term", epoch.term}};
}

common::Epoch epochOf(const Json& value) {
  return {value.at("generation").get<std::uint32_t>(), value.at("term").get<std::uint32_t>()};
}

const char* phaseName(StreamPhase phase) {
  switch (phase) {
    case StreamPhase::kWhole:
      return "whole";
    case StreamPhase::kPrefillOnly:
      return "prefill";
    case StreamPhase::kDecodeOnly:
      return "decode";
  }
  return "whole";
}

const char* kindName(OrderKind kind) {
  switch (kind) {
    case OrderKind::kRaiseFence:
      return "raise_fence";
    case OrderKind::kChangeRole:
      return "change_role";
    case OrderKind::kLoadModel:
      return "load_model";
    case OrderKind::kLoadAdapter:
      return "load_adapter";
    case OrderKind::kUnloadAdapter:
      return "unload_adapter";
  }
  return "raise_fence";
}

OrderVerdict verdictOf(const std::string& name) {
  if (name == "accepted") {
    return OrderVerdict::kAccepted;
  }
  if (name == "duplicate") {
    return OrderVerdict::kDuplicate;
  }
  if (name == "stale_epoch") {
    return OrderVerdict::kStaleEpoch;
  }
  if (name == "conflict") {
    return OrderVerdict::kConflict;
  }
  if (name == "wrong_incarnation") {
    return OrderVerdict::kWrongIncarnation;
  }
  if (name == "busy") {
    return OrderVerdict::kBusy;
  }
  throw EngineProtocolError("unknown verdict '" + name + "'");
}

EngineState stateOf(const std::string& name) {
  if (name == "ready") {
    return EngineState::kReady;
  }
  if (name == "changing") {
    return EngineState::kChanging;
  }
  if (name == "failed") {
    return EngineState::kFailed;
  }
  throw EngineProtocolError("unknown engine state '" + name + "'");
}

EngineRole roleOf(const std::string& name) {
  EngineRole role = EngineRole::kMixed;
  if (!parseRole(name, role)) {
    throw EngineProtocolError("unknown role '" + name + "'");
  }
  return role;
}

CacheEventKind cacheEventKindOf(const std::string& name) {
  if (name == "stored") {
    return CacheEventKind::kStored;
  }
  if (name == "evicted") {
    return CacheEventKind::kEvicted;
  }
  throw EngineProtocolError("unknown cache event '" + name + "'");
}

common::PieceHash pieceOf(const std::string& text) {
  common::PieceHash piece = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, piece, kHexBase);
  if (result.ec != std::errc() || result.ptr != end) {
    throw EngineProtocolError("cache piece '" + text + "' is no hexadecimal number");
  }
  return piece;
}

CacheEvent cacheEventOf(const Json& value) {
  CacheEvent event;
  event.sequence = value.at("sequence").get<std::uint64_t>();
  event.kind = cacheEventKindOf(value.at("kind").get<std::string>());
  event.piece = pieceOf(value.at("piece").get<std::string>());
  return event;
}

common::Duration microseconds(const Json& value) {
  return common::Duration(static_cast<std::int64_t>(value.get<double>()));
}

void readDemand(const Json& value, EngineLoad& load) {
  load.running_streams = value.at("running_streams").get<std::uint32_t>();
  load.waiting_streams = value.at("waiting_streams").get<std::uint32_t>();
  load.maximum_streams = value.at("maximum_streams").get<std::uint32_t>();
  load.queued_prefill_tokens = value.at("queued_prefill_tokens").get<std::uint64_t>();
  load.queued_decode_tokens = value.at("queued_decode_tokens").get<std::uint64_t>();
  load.cache_pieces_used = value.at("cache_pieces_used").get<std::uint32_t>();
  load.cache_pieces_total = value.at("cache_pieces_total").get<std::uint32_t>();
}

void readSpeed(const Json& value, EngineLoad& load) {
  constexpr double kMicrosecondsPerMillisecond = 1000;
  load.prefill_tokens_per_second = value.at("prefill_tokens_per_second").get<double>();
  load.decode_step_base = microseconds(value.at("decode_step_base_us"));
  load.decode_step_per_stream = microseconds(value.at("decode_step_per_stream_us"));
  const double age = value.at("age_ms").get<double>() * kMicrosecondsPerMillisecond;
  load.age = common::Duration(static_cast<std::int64_t>(age));
}

EngineLoad loadOf(const Json& value) {
  EngineLoad load;
  load.incarnation = value.at("incarnation").get<std::uint64_t>();
  load.state = stateOf(value.at("state").get<std::string>());
  load.role = roleOf(value.at("role").get<std::string>());
  load.model = value.at("model").get<std::string>();
  load.version = value.at("version").get<std::string>();
  load.adapters = value.at("adapters").get<std::vector<std::string>>();
  load.highest_epoch = epochOf(value.at("highest_epoch"));
  load.last_sequence = value.at("last_sequence").get<std::uint64_t>();
  load.order_in_progress = value.at("order_in_progress").get<bool>();
  readDemand(value, load);
  readSpeed(value, load);
  return load;
}

/// Parses `json` and converts it; JSON errors are rethrown as EngineProtocolError.
template <typename Convert>
auto parseAndConvert(std::string_view json, Convert convert) {
  try {
    return convert(Json::parse(json));
  } catch (const Json::exception& error) {
    throw EngineProtocolError(std::string("engine's answer can't be read: ") + error.what());
  }
}

}  // namespace

std::string streamRequestJson(const StreamRequest& request) {
  Json value = {{"stream_id", request.stream_id},
                {"attempt", request.attempt},
                {"model", request.model},
                {"version", request.version},
                {"adapter", request.adapter},
                {"priority", request.priority},
                {"prompt", request.prompt},
                {"maximum_tokens", request.maximum_tokens},
                {"resume_from", request.resume_from},
                {"phase", phaseName(request.phase)}};
  if (request.phase == StreamPhase::kDecodeOnly) {
    value["kv_source"] = request.kv_source;
  }
  return dumpJson(value);
}

std::string orderJson(const EngineOrder& order) {
  const Json content = {
      {"kind", kindName(order.content.kind)}, {"role", toString(order.content.role)},
      {"model", order.content.model},         {"version", order.content.version},
      {"adapter", order.content.adapter},     {"only_if_idle", order.content.only_if_idle}};
  return dumpJson({{"epoch", epochJson(order.epoch)},
                   {"sequence", order.sequence},
                   {"engine_incarnation", order.engine_incarnation},
                   {"content", content}});
}

OrderReply parseOrderReply(std::string_view json) {
  return parseAndConvert(json, [](const Json& value) {
    OrderReply reply;
    reply.verdict = verdictOf(value.at("verdict").get<std::string>());
    reply.highest_epoch = epochOf(value.at("highest_epoch"));
    reply.last_sequence = value.at("last_sequence").get<std::uint64_t>();
    reply.in_progress = value.at("in_progress").get<bool>();
    return reply;
  });
}

EngineLoad parseEngineLoad(std::string_view json) { return parseAndConvert(json, loadOf); }

CacheEvents parseCacheEvents(std::string_view json) {
  return parseAndConvert(json, [](const Json& value) {
    CacheEvents events;
    events.incarnation = value.at("incarnation").get<std::uint64_t>();
    events.last_sequence = value.at("last_sequence").get<std::uint64_t>();
    for (const Json& event : value.at("events")) {
      events.events.push_back(cacheEventOf(event));
    }
    return events;
  });
}

StreamRefusal parseStreamRefusal(std::string_view json) {
  StreamRefusal refusal;
  refusal.error = std::string(json.substr(0, kMaximumQuotedBytes));
  const Json value = Json::parse(json, nullptr, false);
  if (!value.is_object()) {
    return refusal;
  }
  const auto ran = value.find("ran");
  refusal.not_run = ran != value.end() && ran->is_boolean() && !ran->get<bool>();
  const auto error = value.find("error");
  if (error != value.end() && error->is_string()) {
    refusal.error = error->get<std::string>();
  }
  return refusal;
}

}  // namespace cypresswall::engines
