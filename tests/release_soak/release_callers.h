/// Callers that ask for streamed answers at all nodes, break most of them off, and take them up at
/// any node. Records what each answer was made of over all its requests.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cypresswall/common/random.h"
#include "tests/release_soak/release_fleet.h"

namespace cypresswall::testing {

/// One request of a caller.
struct AnswerAttempt {
  std::size_t node = 0;
  std::chrono::steady_clock::time_point began{};
  std::chrono::steady_clock::time_point ended{};
  /// Position from which the answer was taken up; zero for its first request.
  std::uint64_t after_event = 0;
  StreamResult result;
};

struct CallerAnswer {
  std::string name;
  /// Number of events that a whole answer has.
  std::uint64_t events = 0;
  std::vector<AnswerAttempt> attempts;
};

class ReleaseCallers {
 public:
  ReleaseCallers(const ReleaseFleet& fleet, std::size_t threads, std::uint64_t seed);
  ~ReleaseCallers();
  ReleaseCallers(const ReleaseCallers&) = delete;
  ReleaseCallers& operator=(const ReleaseCallers&) = delete;

  /// Of the answers that are taken up, has half go to this node; to any node without one.
  void prefer(std::size_t node) { preferred_ = node; }
  void preferNone() { preferred_ = fleet_.nodes(); }
  /// Ends the callers. \return all answers
  std::vector<CallerAnswer> finish();

 private:
  void run(std::size_t thread, std::uint64_t seed);
  CallerAnswer askFor(const std::string& name, common::RandomSource& random);
  /// Waits for the time that the caller takes to come back.
  void pause(common::RandomSource& random) const;
  std::size_t nodeToTakeUpAt(common::RandomSource& random) const;

  const ReleaseFleet& fleet_;
  std::atomic<std::size_t> preferred_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<CallerAnswer> answers_;
  std::vector<std::thread> threads_;
};

}  // namespace cypresswall::testing
