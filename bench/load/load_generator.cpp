#include "bench/load/load_generator.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cmath>
#include <utility>

namespace cypresswall::bench {

using std::chrono::steady_clock;

namespace {

/// Requests sent with a longer delay than this count as LoadResult::sent_late.
constexpr auto kLateThreshold = std::chrono::milliseconds(1);
constexpr auto kRampStep = std::chrono::milliseconds(10);

}  // namespace

LoadGenerator::LoadGenerator(const LoadTarget& target, LoadPlan plan)
    : target_(target),
      plan_(std::move(plan)),
      random_(plan_.seed),
      curl_(context_, runtime::CurlMultiSettings{.maximum_idle_connections = 4096}),
      next_number_(plan_.first_number) {}

LoadResult LoadGenerator::run() {
  next_arrival_ = steady_clock::now() + plan_.ramp;
  last_arrival_ = next_arrival_ + plan_.duration;
  if (plan_.held_streams > 0) {
    startHeldStreams(0);
  }
  if (plan_.requests_per_second > 0) {
    scheduleNext();
  }
  end_timer_.expires_at(last_arrival_);
  end_timer_.async_wait([this](const asio::error_code&) { drain(); });
  context_.run();
  return std::move(result_);
}

void LoadGenerator::startHeldStreams(std::uint32_t started) {
  const auto steps = std::max<std::int64_t>(plan_.ramp / kRampStep, 1);
  const auto batch = static_cast<std::uint32_t>((plan_.held_streams + steps - 1) / steps);
  const std::uint32_t until = std::min(started + batch, plan_.held_streams);
  for (; started < until; ++started) {
    startRequest(started % plan_.kinds.size());
  }
  if (started < plan_.held_streams) {
    ramp_timer_.expires_after(kRampStep);
    ramp_timer_.async_wait([this, started](const asio::error_code&) { startHeldStreams(started); });
  }
}

void LoadGenerator::scheduleNext() {
  const double gap = -std::log(1.0 - random_.unit()) / plan_.requests_per_second;
  next_arrival_ += common::fromSeconds(gap);
  if (next_arrival_ >= last_arrival_) {
    return;
  }
  arrival_timer_.expires_at(next_arrival_);
  arrival_timer_.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    result_.sent_late += steady_clock::now() - next_arrival_ > kLateThreshold ? 1 : 0;
    startRequest(drawKind(plan_.kinds, random_));
    scheduleNext();
  });
}

void LoadGenerator::startRequest(std::size_t kind) {
  const std::uint64_t number = next_number_;
  next_number_ += plan_.number_step;
  auto request =
      std::make_unique<LoadRequest>(target_, plan_.kinds[kind], number, result_, [this, number] {
        open_.erase(number);
        if (draining_ && open_.empty()) {
          finish();
        }
      });
  LoadRequest& started = *request;
  open_[number] = std::move(request);
  started.start(curl_);
}

void LoadGenerator::drain() {
  draining_ = true;
  if (open_.empty()) {
    finish();
    return;
  }
  end_timer_.expires_after(plan_.drain);
  end_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      finish();
    }
  });
}

void LoadGenerator::finish() {
  end_timer_.cancel();
  for (const auto& [number, request] : open_) {
    request->abandon();
  }
  open_.clear();
  context_.stop();
}

}  // namespace cypresswall::bench
