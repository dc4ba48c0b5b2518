/// JSON encoding of the engine protocol (docs/protocols.md), engine side.
#pragma once

#include <nlohmann/json.hpp>

#include "cypresswall/emulation/engine_ledger.h"
#include "cypresswall/emulation/engine_settings.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::standins {

/// \throws RequestError
engines::StreamRequest decodeStreamRequest(const nlohmann::json& body);
/// \throws RequestError
engines::EngineOrder decodeOrder(const nlohmann::json& body);
/// Sets the faults named in `body` and leaves the others unchanged. \throws RequestError
void decodeFaults(const nlohmann::json& body, emulation::EngineFaults& faults);

nlohmann::json encodeReply(const engines::OrderReply& reply);
nlohmann::json encodeLoad(const engines::EngineLoad& load);
nlohmann::json encodeCacheEvents(const engines::CacheEvents& events);
nlohmann::json encodeLedger(const emulation::EngineLedger& ledger);

}  // namespace cypresswall::standins
