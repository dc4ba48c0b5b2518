#include "standins/fronts/engine_json.h"

#include <array>
#include <cstdio>
#include <utility>

#include "standins/fronts/json_http.h"

namespace cypresswall::standins {

using engines::OrderKind;
using engines::OrderVerdict;
using engines::StreamPhase;
using nlohmann::json;

namespace {

constexpr std::uint8_t kHighestPriority = 9;

constexpr std::array<std::pair<const char*, OrderKind>, 5> kOrderKinds = {{
    {"raise_fence", OrderKind::kRaiseFence},
    {"change_role", OrderKind::kChangeRole},
    {"load_model", OrderKind::kLoadModel},
    {"load_adapter", OrderKind::kLoadAdapter},
    {"unload_adapter", OrderKind::kUnloadAdapter},
}};

constexpr std::array<std::pair<const char*, StreamPhase>, 3> kPhases = {{
    {"whole", StreamPhase::kWhole},
    {"prefill", StreamPhase::kPrefillOnly},
    {"decode", StreamPhase::kDecodeOnly},
}};

constexpr std::array<std::pair<const char*, OrderVerdict>, 6> kVerdicts = {{
    {"accepted", OrderVerdict::kAccepted},
    {"duplicate", OrderVerdict::kDuplicate},
    {"stale_epoch", OrderVerdict::kStaleEpoch},
    {"conflict", OrderVerdict::kConflict},
    {"wrong_incarnation", OrderVerdict::kWrongIncarnation},
    {"busy", OrderVerdict::kBusy},
}};

constexpr std::array<std::pair<const char*, engines::EngineState>, 3> kStates = {{
    {"ready", engines::EngineState::kReady},
    {"changing", engines::EngineState::kChanging},
    {"failed", engines::EngineState::kFailed},
}};

template <typename Enum, std::size_t Size>
Enum parseName(const std::array<std::pair<const char*, Enum>, Size>& names, const char* field,
               const std::string& text) {
  for (const auto& [name, value] : names) {
    if (text == name) {
      return value;
    }
  }
  throw RequestError(std::string(field) + ": unknown value " + text);
}

template <typename Enum, std::size_t Size>
const char* nameOf(const std::array<std::pair<const char*, Enum>, Size>& names, Enum value) {
  for (const auto& [name, candidate] : names) {
    if (candidate == value) {
      return name;
    }
  }
  return "unknown";
}

json encodeEpoch(const common::Epoch& epoch) {
  return {{"generation", epoch.generation}, {"term", epoch.term}};
}

common::Epoch decodeEpoch(const json& body) {
  const json epoch = requiredField<json>(body, "epoch");
  return {requiredField<std::uint32_t>(epoch, "generation"),
          requiredField<std::uint32_t>(epoch, "term")};
}

engines::OrderContent decodeContent(const json& body) {
  engines::OrderContent content;
  content.kind = parseName(kOrderKinds, "kind", requiredField<std::string>(body, "kind"));
  const auto role = fieldOr<std::string>(body, "role", "mixed");
  if (!engines::parseRole(role, content.role)) {
    throw RequestError("role: unknown value " + role);
  }
  content.model = fieldOr<std::string>(body, "model", "");
  content.version = fieldOr<std::string>(body, "version", "");
  content.adapter = fieldOr<std::string>(body, "adapter", "");
  content.only_if_idle = fieldOr(body, "only_if_idle", true);
  return content;
}

json encodeContent(const engines::OrderContent& content) {
  return {{"kind", nameOf(kOrderKinds, content.kind)},
          {"role", engines::toString(content.role)},
          {"model", content.model},
          {"version", content.version},
          {"adapter", content.adapter},
          {"only_if_idle", content.only_if_idle}};
}

std::string hexOf(common::PieceHash piece) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(piece));
  return text.data();
}

}  // namespace

engines::StreamRequest decodeStreamRequest(const json& body) {
  engines::StreamRequest request;
  request.stream_id = requiredField<std::string>(body, "stream_id");
  request.attempt = requiredField<std::uint32_t>(body, "attempt");
  request.model = requiredField<std::string>(body, "model");
  request.version = fieldOr<std::string>(body, "version", "");
  request.adapter = fieldOr<std::string>(body, "adapter", "");
  request.priority = fieldOr<std::uint8_t>(body, "priority", 0);
  request.prompt = requiredField<std::string>(body, "prompt");
  request.maximum_tokens = requiredField<std::uint32_t>(body, "maximum_tokens");
  request.resume_from = fieldOr<std::uint32_t>(body, "resume_from", 0);
  request.phase = parseName(kPhases, "phase", fieldOr<std::string>(body, "phase", "whole"));
  request.kv_source = fieldOr<std::string>(body, "kv_source", "");
  if (request.priority > kHighestPriority) {
    throw RequestError("priority is above 9");
  }
  if (request.maximum_tokens == 0) {
    throw RequestError("maximum_tokens is zero");
  }
  request.shape = common::shapeOfPrompt(
      request.prompt, request.model + "/" + request.version + "/" + request.adapter);
  return request;
}

engines::EngineOrder decodeOrder(const json& body) {
  engines::EngineOrder order;
  order.epoch = decodeEpoch(body);
  order.sequence = requiredField<std::uint64_t>(body, "sequence");
  order.engine_incarnation = requiredField<std::uint64_t>(body, "engine_incarnation");
  order.content = decodeContent(requiredField<json>(body, "content"));
  return order;
}

void decodeFaults(const json& body, emulation::EngineFaults& faults) {
  faults.crash_in_next_change = fieldOr(body, "crash_in_next_change", faults.crash_in_next_change);
  faults.load_lag = millisecondsOr(body, "load_lag_ms", faults.load_lag);
  faults.cache_events.delay =
      millisecondsOr(body, "cache_event_delay_ms", faults.cache_events.delay);
  faults.cache_events.loss = fieldOr(body, "cache_event_loss", faults.cache_events.loss);
  faults.break_stream_after_tokens =
      fieldOr(body, "break_stream_after_tokens", faults.break_stream_after_tokens);
  faults.decode_slowdown = fieldOr(body, "decode_slowdown", faults.decode_slowdown);
  faults.refuse = fieldOr(body, "refuse", faults.refuse);
  faults.rate_limit = rateLimitOr(body, faults.rate_limit);
  faults.leaving = fieldOr(body, "leaving", faults.leaving);
  faults.pause = pauseOr(body, faults.pause);
  if (const auto pieces = body.find("crash_on_pieces"); pieces != body.end()) {
    faults.crash_on_pieces = pieces->get<std::set<common::PieceHash>>();
  }
}

json encodeReply(const engines::OrderReply& reply) {
  return {{"verdict", nameOf(kVerdicts, reply.verdict)},
          {"highest_epoch", encodeEpoch(reply.highest_epoch)},
          {"last_sequence", reply.last_sequence},
          {"in_progress", reply.in_progress}};
}

json encodeLoad(const engines::EngineLoad& load) {
  return {{"incarnation", load.incarnation},
          {"state", nameOf(kStates, load.state)},
          {"role", engines::toString(load.role)},
          {"model", load.model},
          {"version", load.version},
          {"adapters", load.adapters},
          {"running_streams", load.running_streams},
          {"waiting_streams", load.waiting_streams},
          {"maximum_streams", load.maximum_streams},
          {"queued_prefill_tokens", load.queued_prefill_tokens},
          {"queued_decode_tokens", load.queued_decode_tokens},
          {"cache_pieces_used", load.cache_pieces_used},
          {"cache_pieces_total", load.cache_pieces_total},
          {"highest_epoch", encodeEpoch(load.highest_epoch)},
          {"last_sequence", load.last_sequence},
          {"order_in_progress", load.order_in_progress},
          {"prefill_tokens_per_second", load.prefill_tokens_per_second},
          {"decode_step_base_us", load.decode_step_base.count()},
          {"decode_step_per_stream_us", load.decode_step_per_stream.count()},
          {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(load.age).count()}};
}

json encodeCacheEvents(const engines::CacheEvents& events) {
  json list = json::array();
  for (const engines::CacheEvent& event : events.events) {
    const bool stored = event.kind == engines::CacheEventKind::kStored;
    list.push_back({{"sequence", event.sequence},
                    {"kind", stored ? "stored" : "evicted"},
                    {"piece", hexOf(event.piece)}});
  }
  return {{"incarnation", events.incarnation},
          {"last_sequence", events.last_sequence},
          {"events", std::move(list)}};
}

json encodeLedger(const emulation::EngineLedger& ledger) {
  json streams = json::array();
  for (const emulation::StreamEntry& entry : ledger.streams) {
    streams.push_back({{"stream_id", entry.stream_id},
                       {"attempt", entry.attempt},
                       {"incarnation", entry.incarnation},
                       {"model", entry.model},
                       {"version", entry.version},
                       {"adapter", entry.adapter},
                       {"phase", nameOf(kPhases, entry.phase)},
                       {"resume_from", entry.resume_from},
                       {"tokens", entry.tokens},
                       {"end", emulation::toString(entry.end)}});
  }
  json orders = json::array();
  for (const emulation::OrderEntry& entry : ledger.orders) {
    orders.push_back({{"epoch", encodeEpoch(entry.order.epoch)},
                      {"sequence", entry.order.sequence},
                      {"engine_incarnation", entry.order.engine_incarnation},
                      {"content", encodeContent(entry.order.content)},
                      {"verdict", nameOf(kVerdicts, entry.verdict)},
                      {"incarnation", entry.incarnation}});
  }
  return {{"streams", std::move(streams)},
          {"orders", std::move(orders)},
          {"counts",
           {{"streams_started", ledger.streams_started},
            {"streams_refused", ledger.streams_refused},
            {"streams_cut_by_order", ledger.streams_cut_by_order},
            {"tokens", ledger.tokens},
            {"orders_received", ledger.orders_received},
            {"role_changes", ledger.role_changes},
            {"model_loads", ledger.model_loads},
            {"crashes", ledger.crashes},
            {"prompt_tokens", ledger.prompt_tokens},
            {"cached_prompt_tokens", ledger.cached_prompt_tokens},
            {"kv_bytes_imported", ledger.kv_bytes_imported}}}};
}

}  // namespace cypresswall::standins
