/// Requests of an engine stand-in to other processes: KV cache from other engines, and weights from
/// the platform's weight store.
#pragma once

#include <map>
#include <string>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/emulation/engine.h"
#include "cypresswall/emulation/weight_source.h"
#include "cypresswall/runtime/curl_multi.h"

namespace cypresswall::standins {

/// Fetches KV cache over HTTP, or directly from engines of the same process.
class HttpKvPeer final : public emulation::KvPeer {
 public:
  HttpKvPeer(runtime::CurlMulti& curl, common::Scheduler& scheduler)
      : curl_(curl), scheduler_(scheduler) {}
  void addLocal(const common::Address& address, emulation::EmulatedEngine& engine) {
    local_[address] = &engine;
  }
  void fetchKv(const common::Address& source, const std::string& stream_id,
               std::function<void(std::optional<emulation::KvExport>)> callback) override;

 private:
  runtime::CurlMulti& curl_;
  common::Scheduler& scheduler_;
  std::map<common::Address, emulation::EmulatedEngine*> local_;
};

/// Reads weights from the platform at a given address.
class HttpWeightSource final : public emulation::WeightSource {
 public:
  HttpWeightSource(common::Address platform, runtime::CurlMulti& curl)
      : platform_(std::move(platform)), curl_(curl) {}
  void fetch(const std::string& uri,
             std::function<void(emulation::WeightTransfer)> callback) override;

 private:
  common::Address platform_;
  runtime::CurlMulti& curl_;
};

}  // namespace cypresswall::standins
