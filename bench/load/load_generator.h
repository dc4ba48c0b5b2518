/// Generates load from one thread: an open loop of new requests at a given rate, or a number of
/// streams that are held open.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "bench/load/load_request.h"
#include "bench/load/load_result.h"
#include "bench/load/request_mix.h"
#include "cypresswall/common/random.h"
#include "cypresswall/runtime/curl_multi.h"

namespace cypresswall::bench {

/// One phase of load on one target.
struct LoadPlan {
  std::vector<RequestKind> kinds;
  /// Rate of Poisson arrivals; zero starts none.
  double requests_per_second = 0;
  /// Streams started at the beginning of the phase and held open.
  std::uint32_t held_streams = 0;
  /// Time over which the starts of held streams are spread.
  common::Duration ramp{0};
  /// Time for which new requests are started, after the ramp.
  common::Duration duration = std::chrono::seconds(10);
  /// Time that open requests have to end after `duration`; later ones count as abandoned.
  common::Duration drain = std::chrono::seconds(10);
  std::uint64_t seed = 1;
  /// Number of the first request; the ranges of several generators must not overlap.
  std::uint64_t first_number = 0;
  std::uint64_t number_step = 1;
};

class LoadGenerator {
 public:
  /// \param target must outlive the generator
  LoadGenerator(const LoadTarget& target, LoadPlan plan);
  /// Runs the whole phase on the calling thread.
  LoadResult run();

 private:
  void startHeldStreams(std::uint32_t started);
  void scheduleNext();
  void startRequest(std::size_t kind);
  void drain();
  void finish();

  const LoadTarget& target_;
  LoadPlan plan_;
  LoadResult result_;
  common::SeededRandom random_;
  asio::io_context context_{1};
  runtime::CurlMulti curl_;
  asio::steady_timer arrival_timer_{context_};
  asio::steady_timer ramp_timer_{context_};
  asio::steady_timer end_timer_{context_};
  std::chrono::steady_clock::time_point next_arrival_;
  std::chrono::steady_clock::time_point last_arrival_;
  std::uint64_t next_number_;
  std::map<std::uint64_t, std::unique_ptr<LoadRequest>> open_;
  bool draining_ = false;
};

}  // namespace cypresswall::bench
