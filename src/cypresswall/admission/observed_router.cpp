#include "cypresswall/admission/observed_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cypresswall/admission/engine_priority.h"

namespace cypresswall::admission {
namespace {

/// Level at which all urgencies except the highest are shed.
constexpr double kHighestLevel = 3;

}  // namespace

void SheddingLevel::recordChoice(configuration::Urgency urgency, bool refused,
                                 common::MonotonicTime now) {
  if (now - window_start_ >= settings_.window) {
    closeWindow(now);
  }
  auto& count = counts_[static_cast<std::size_t>(urgency)];
  ++count.routed;
  count.refused += refused ? 1 : 0;
}

void SheddingLevel::closeWindow(common::MonotonicTime now) {
  if (overloaded()) {
    level_ = std::min(kHighestLevel, level_ + settings_.step_up);
  } else {
    level_ = levelAt(now);
  }
  counts_ = {};
  window_start_ = now;
}

/// \return true if the router refused more than SheddingSettings::refused_share of the requests in
///   classes above the one that is partly shed. Refusals in that class and in lower classes don't
///   count: shedding already handles these classes, and shedding more of them would not help the
///   classes above.
bool SheddingLevel::overloaded() const {
  Count remaining;
  for (auto rank = static_cast<std::size_t>(level_) + 1; rank < kClasses; ++rank) {
    remaining.routed += counts_[rank].routed;
    remaining.refused += counts_[rank].refused;
  }
  return remaining.refused > settings_.refused_share * remaining.routed;
}

double SheddingLevel::levelAt(common::MonotonicTime now) const {
  const double windows =
      common::toSeconds(now - window_start_) / common::toSeconds(settings_.window);
  return std::max(0.0, level_ - settings_.step_down * std::floor(windows));
}

double SheddingLevel::admittedShare(configuration::Urgency urgency,
                                    common::MonotonicTime now) const {
  const double shed = levelAt(now) - static_cast<double>(urgency);
  return std::clamp(1 - shed, 0.0, 1.0);
}

ObservedRouter::ObservedRouter(routing::Router& router, const common::Clock& clock,
                               const SheddingSettings& settings)
    : router_(router), clock_(clock), settings_(settings) {}

routing::RouteChoice ObservedRouter::choose(const routing::RouteRequest& request) {
  auto choice = router_.choose(request);
  if (request.resume_from == 0) {
    recordChoice(request.model, request.priority, choice);
  }
  return choice;
}

void ObservedRouter::place(const routing::RouteRequest& request,
                           const routing::PlacementCallback& done) {
  if (request.resume_from > 0) {
    router_.place(request, done);
    return;
  }
  router_.place(request, [this, model = request.model, priority = request.priority,
                          done](routing::RouteChoice choice) {
    recordChoice(model, priority, choice);
    done(std::move(choice));
  });
}

void ObservedRouter::recordChoice(const common::ModelName& model, std::uint8_t priority,
                                  const routing::RouteChoice& choice) {
  const auto* const refusal = std::get_if<routing::RouteRefusal>(&choice);
  const bool overloaded =
      refusal != nullptr && refusal->reason == routing::RouteFailure::kOverloaded;
  auto& load = models_.try_emplace(model, ModelLoad{SheddingLevel(settings_)}).first->second;
  load.level.recordChoice(urgencyOfPriority(priority), overloaded, clock_.now());
  if (fair_shares_ != nullptr && (refusal == nullptr || overloaded)) {
    fair_shares_->recordPlaced(modelPool(model), urgencyOfPriority(priority), overloaded);
  }
  if (overloaded) {
    load.last_retry_after = refusal->retry_after;
  }
}

double ObservedRouter::admittedShare(const common::ModelName& model,
                                     configuration::Urgency urgency) const {
  const auto load = models_.find(model);
  return load == models_.end() ? 1 : load->second.level.admittedShare(urgency, clock_.now());
}

common::Duration ObservedRouter::drainTime(const common::ModelName& model) const {
  const auto load = models_.find(model);
  return load == models_.end() ? common::Duration{0} : load->second.last_retry_after;
}

}  // namespace cypresswall::admission
