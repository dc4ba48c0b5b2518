/// Finds out whether an engine ended or only broke a stream.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/quarantine/quarantine_settings.h"

namespace cypresswall::quarantine {

/// Asks the engine for its load right after a stream broke there: one that only resets connections
/// answers. Engines that fail part of their streams would otherwise bring their callers' requests
/// under suspicion. It is asked twice, since the first question may go out on a kept connection
/// that the engine has closed. One answer serves all streams that broke there within a short time.
class CrashDetector {
 public:
  using Answer = std::function<void(bool ended)>;

  CrashDetector(const QuarantineSettings& settings, const api::ProcessContext& context,
                engines::EngineClient& client);
  CrashDetector(const CrashDetector&) = delete;
  CrashDetector& operator=(const CrashDetector&) = delete;

  /// \param answer called once, perhaps before the call returns
  void ask(const engines::EngineEndpoint& engine, Answer answer);

 private:
  struct Question {
    bool answered = false;
    bool ended = false;
    common::MonotonicTime asked_at{};
    std::vector<Answer> waiting;
  };

  void question(const engines::EngineEndpoint& engine, std::uint32_t number);
  void onAnswer(const common::EngineName& engine, bool ended);
  void forgetOld();

  const QuarantineSettings settings_;
  const api::ProcessContext& context_;
  engines::EngineClient& client_;
  std::unordered_map<common::EngineName, Question> questions_;
  common::Counter& ended_;
  common::Counter& alive_;
};

}  // namespace cypresswall::quarantine
