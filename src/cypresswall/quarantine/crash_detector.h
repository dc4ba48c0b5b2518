/// Distinguishes an engine crash from a single broken stream.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/quarantine/quarantine_settings.h"

namespace cypresswall::quarantine {

/// Probes the engine by fetching its load right after one of its streams broke: an engine that
/// merely reset the connection still answers, a crashed one does not. Without the probe, harmless
/// requests would count as crashing an engine that merely fails some of its streams. A failed probe
/// is repeated once, since the first may use a keep-alive connection that the engine has already
/// closed. The result of one probe applies to all streams that break on the engine within
/// QuarantineSettings::probe_validity.
class CrashDetector {
 public:
  using Callback = std::function<void(bool ended)>;

  CrashDetector(const QuarantineSettings& settings, const api::ProcessContext& context,
                engines::EngineClient& client);
  CrashDetector(const CrashDetector&) = delete;
  CrashDetector& operator=(const CrashDetector&) = delete;

  /// \param callback called once, possibly before the call returns; with true if the engine did not
  ///   answer and so counts as crashed
  void probeEngine(const engines::EngineEndpoint& engine, Callback callback);

 private:
  struct Probe {
    bool answered = false;
    bool ended = false;
    common::MonotonicTime started_at{};
    std::vector<Callback> waiting;
  };

  void sendProbe(const engines::EngineEndpoint& engine, std::uint32_t attempt);
  void onAnswer(const common::EngineName& engine, bool ended);
  void evictExpired();

  const QuarantineSettings settings_;
  const api::ProcessContext& context_;
  engines::EngineClient& client_;
  std::unordered_map<common::EngineName, Probe> probes_;
  common::Counter& ended_;
  common::Counter& alive_;
};

}  // namespace cypresswall::quarantine
