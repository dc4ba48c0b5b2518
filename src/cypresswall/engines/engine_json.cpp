#include "cypresswall/engines/engine_json.h"

#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

#include "cypresswall/common/bounded_json.h"

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

/// Upper bound of counts.
constexpr std::uint64_t kLargestCount = std::numeric_limits<std::uint32_t>::max();

std::uint32_t countAt(const Json& object, const char* name) {
  return static_cast<std::uint32_t>(common::integerAt(object, name, kLargestCount));
}

std::uint64_t numberOfIncarnation(const Json& object) {
  return common::integerAt(object, "incarnation", common::kLargestInteger);
}

/// \return the number `name` in `object`
/// \throws EngineProtocolError if it is missing or not from 0 to `maximum`
double numberAt(const Json& object, const char* name, double maximum) {
  const auto number = common::numberIn(common::memberOrNull(object, name), 0, maximum);
  if (!number) {
    throw EngineProtocolError(std::string("'") + name + "' is no number in range");
  }
  return *number;
}

common::Epoch epochOf(const Json& value) {
  return {countAt(value, "generation"), countAt(value, "term")};
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
  event.sequence = common::integerAt(value, "sequence");
  event.kind = cacheEventKindOf(value.at("kind").get<std::string>());
  event.piece = pieceOf(value.at("piece").get<std::string>());
  return event;
}

/// Upper bound of the durations in a report; a longer one is a fault of the engine.
constexpr double kLongestMicroseconds = 3600e6;

common::Duration microseconds(const Json& object, const char* name) {
  return common::Duration(static_cast<std::int64_t>(numberAt(object, name, kLongestMicroseconds)));
}

void readDemand(const Json& value, EngineLoad& load) {
  load.running_streams = countAt(value, "running_streams");
  load.waiting_streams = countAt(value, "waiting_streams");
  load.maximum_streams = countAt(value, "maximum_streams");
  load.queued_prefill_tokens = countAt(value, "queued_prefill_tokens");
  load.queued_decode_tokens = countAt(value, "queued_decode_tokens");
  load.cache_pieces_used = countAt(value, "cache_pieces_used");
  load.cache_pieces_total = countAt(value, "cache_pieces_total");
}

void readSpeed(const Json& value, EngineLoad& load) {
  constexpr double kMicrosecondsPerMillisecond = 1000;
  constexpr double kFastestPrefill = 1e12;
  load.prefill_tokens_per_second = numberAt(value, "prefill_tokens_per_second", kFastestPrefill);
  load.decode_step_base = microseconds(value, "decode_step_base_us");
  load.decode_step_per_stream = microseconds(value, "decode_step_per_stream_us");
  const double age = numberAt(value, "age_ms", kLongestMicroseconds / kMicrosecondsPerMillisecond) *
                     kMicrosecondsPerMillisecond;
  load.age = common::Duration(static_cast<std::int64_t>(age));
}

EngineLoad loadOf(const Json& value) {
  EngineLoad load;
  load.incarnation = numberOfIncarnation(value);
  load.state = stateOf(value.at("state").get<std::string>());
  load.role = roleOf(value.at("role").get<std::string>());
  load.model = value.at("model").get<std::string>();
  load.version = value.at("version").get<std::string>();
  load.adapters = value.at("adapters").get<std::vector<std::string>>();
  load.highest_epoch = epochOf(value.at("highest_epoch"));
  load.last_sequence = common::integerAt(value, "last_sequence");
  load.order_in_progress = value.at("order_in_progress").get<bool>();
  readDemand(value, load);
  readSpeed(value, load);
  return load;
}

/// Adds one event; an event that can't be read is counted and left out.
void addCacheEvent(const Json& value, CacheEvents& events) {
  try {
    events.events.push_back(cacheEventOf(value));
  } catch (const Json::exception&) {
    ++events.unreadable;
  } catch (const common::Error&) {
    ++events.unreadable;
  }
}

/// Parses `json` and converts it; JSON errors are rethrown as EngineProtocolError.
template <typename Convert>
auto parseAndConvert(std::string_view json, Convert convert) {
  try {
    return convert(common::parseBoundedJson(json).value);
  } catch (const Json::exception& error) {
    throw EngineProtocolError(std::string("engine's answer can't be read: ") + error.what());
  } catch (const common::JsonError& error) {
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
    reply.last_sequence = common::integerAt(value, "last_sequence");
    reply.in_progress = value.at("in_progress").get<bool>();
    return reply;
  });
}

EngineLoad parseEngineLoad(std::string_view json) { return parseAndConvert(json, loadOf); }

CacheEvents parseCacheEvents(std::string_view json) {
  return parseAndConvert(json, [](const Json& value) {
    CacheEvents events;
    events.incarnation = numberOfIncarnation(value);
    events.last_sequence = common::integerAt(value, "last_sequence");
    for (const Json& event : value.at("events")) {
      addCacheEvent(event, events);
    }
    if (events.unreadable > 0) {
      if (events.events.empty()) {
        throw EngineProtocolError("none of the cache events can be read");
      }
      events.gap = true;
    }
    return events;
  });
}

StreamRefusal parseStreamRefusal(std::string_view json) {
  StreamRefusal refusal;
  refusal.error = std::string(json.substr(0, kMaximumQuotedBytes));
  try {
    const Json value = common::parseBoundedJson(json).value;
    const Json& ran = common::memberOrNull(value, "ran");
    refusal.not_run = ran.is_boolean() && !ran.get<bool>();
    const Json& error = common::memberOrNull(value, "error");
    if (error.is_string()) {
      refusal.error = common::abbreviated(error.get_ref<const std::string&>(), kMaximumQuotedBytes);
    }
  } catch (const common::JsonError&) {
    // The text is quoted as it is.
  }
  return refusal;
}

}  // namespace cypresswall::engines
