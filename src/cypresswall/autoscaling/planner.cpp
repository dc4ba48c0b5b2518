#include "cypresswall/autoscaling/planner.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <utility>

namespace cypresswall::autoscaling {
namespace {

using configuration::AutoscalingDeclaration;

/// Maximum utilisation used in the queueing formula, which is not valid from 1 on.
constexpr double kFullUtilisation = 0.98;

bool offersPreemptible(const PoolInput& input) {
  const double price = input.declaration.preemptible_price;
  return price > 0 && price < 1;
}

std::string describe(const char* policy, const PoolCounts& wanted, double busy_engines) {
  constexpr std::size_t kLength = 96;
  std::string text(kLength, '\0');
  const int length = std::snprintf(text.data(), text.size(), "%s: %u engines for %.1f busy", policy,
                                   totalOf(wanted), busy_engines);
  text.resize(static_cast<std::size_t>(std::max(length, 0)));
  return text;
}

double peakLoad(const PoolInput& input) {
  double largest = 0;
  for (const PoolLoad& load : input.loads) {
    largest = std::max(largest, load.busy_engines);
  }
  return largest;
}

/// Splits the `total` engines of a location into lasting and preemptible ones.
EngineCounts splitByKind(const AutoscalingSettings& settings, const PoolInput& input,
                         std::uint32_t total) {
  if (!offersPreemptible(input)) {
    return {total, 0};
  }
  const auto lasting =
      static_cast<std::uint32_t>(std::ceil(settings.lasting_share * static_cast<double>(total)));
  return {std::min(lasting, total), total - std::min(lasting, total)};
}

/// Adds `engines` engines one by one, each to the location in `counts` that has the fewest, or the
/// cheapest of several such locations. Locations that have reached `maximum_engines` receive none;
/// engines that no location can receive are not added.
void addEvenly(std::map<std::string, std::uint32_t>& counts, const AutoscalingDeclaration& declared,
               std::uint32_t engines) {
  const auto price = [&](const std::string& location) {
    return declared.location_prices.at(location);
  };
  for (; engines > 0; --engines) {
    auto best = counts.end();
    for (auto entry = counts.begin(); entry != counts.end(); ++entry) {
      if (entry->second >= declared.maximum_engines) {
        continue;
      }
      const bool better =
          best == counts.end() || entry->second < best->second ||
          (entry->second == best->second && price(entry->first) < price(best->first));
      best = better ? entry : best;
    }
    if (best == counts.end()) {
      return;
    }
    ++best->second;
  }
}

/// Spreads `total` engines over the locations. Engines that a location in `without_preemptible`
/// lacks are added to the other locations. The location's own count is not reduced, so that engines
/// are ordered there as soon as they are available again.
PoolCounts spread(const AutoscalingSettings& settings, const PoolInput& input,
                  std::uint32_t total) {
  const AutoscalingDeclaration& declared = input.declaration;
  std::map<std::string, std::uint32_t> counts;
  for (const auto& [location, price] : declared.location_prices) {
    counts[location] = declared.minimum_engines;
  }
  const auto least = declared.minimum_engines * static_cast<std::uint32_t>(counts.size());
  addEvenly(counts, declared, total > least ? total - least : 0);
  std::map<std::string, std::uint32_t> others = counts;
  std::uint32_t lacking = 0;
  for (const std::string& location : input.without_preemptible) {
    const auto present = input.present.find(location);
    const std::uint32_t there = present == input.present.end() ? 0 : present->second.total();
    lacking += counts[location] > there ? counts[location] - there : 0;
    others.erase(location);
  }
  addEvenly(others, declared, lacking);
  for (const auto& [location, number] : others) {
    counts[location] = number;
  }
  PoolCounts wanted;
  for (const auto& [location, number] : counts) {
    wanted[location] = splitByKind(settings, input, number);
  }
  return wanted;
}

/// Base class of planners that choose only the total number of engines; this class spreads the
/// total over the locations.
class TotalPlanner : public Planner {
 public:
  TotalPlanner(const AutoscalingSettings& settings, const char* name)
      : settings_(settings), name_(name) {}

  PoolPlan plan(const PoolInput& input) const override {
    std::uint32_t total = input.loads.empty() ? 0 : totalFor(input);
    if (!input.may_shrink) {
      total = std::max({total, input.retained, affordable(input)});
    }
    PoolPlan plan;
    plan.wanted = spread(settings_, input, total);
    plan.reason = describe(name_, plan.wanted, peakLoad(input));
    return plan;
  }

 private:
  /// \return the number of preemptible engines whose price is `first_bill_share` of the price of
  ///   the initial engines as lasting ones; zero if preemptible engines are not cheaper
  std::uint32_t affordable(const PoolInput& input) const {
    if (!offersPreemptible(input)) {
      return 0;
    }
    const double engines =
        settings_.first_bill_share * input.initial_engines / input.declaration.preemptible_price;
    return static_cast<std::uint32_t>(engines);
  }

 protected:
  virtual std::uint32_t totalFor(const PoolInput& input) const = 0;
  const AutoscalingSettings settings_;

 private:
  const char* name_;
};

class ThresholdPlanner final : public TotalPlanner {
 public:
  explicit ThresholdPlanner(const AutoscalingSettings& settings)
      : TotalPlanner(settings, "threshold") {}

 private:
  std::uint32_t totalFor(const PoolInput& input) const override {
    return static_cast<std::uint32_t>(std::ceil(peakLoad(input) / settings_.utilisation_limit));
  }
};

/// Chooses the number of engines that minimises the price of the engines plus the value of the work
/// on answers that arrive too late.
class MarginalValuePlanner final : public TotalPlanner {
 public:
  explicit MarginalValuePlanner(const AutoscalingSettings& settings)
      : TotalPlanner(settings, "worth") {}

 private:
  std::uint32_t totalFor(const PoolInput& input) const override {
    const std::uint32_t most = input.declaration.maximum_engines *
                               static_cast<std::uint32_t>(input.declaration.location_prices.size());
    const double price = marginalPrice(input);
    std::uint32_t best = 1;
    double least_cost = cost(input, 1, price);
    for (std::uint32_t engines = 2; engines <= most; ++engines) {
      const double candidate = cost(input, engines, price);
      if (candidate < least_cost) {
        least_cost = candidate;
        best = engines;
      }
    }
    return best;
  }

  /// \return the price per second of one more engine, averaged over the locations and over the
  ///   planned shares of both kinds
  double marginalPrice(const PoolInput& input) const {
    double sum = 0;
    for (const auto& [location, price] : input.declaration.location_prices) {
      const double lasting = offersPreemptible(input) ? settings_.lasting_share : 1.0;
      sum += price * (lasting + (1 - lasting) * input.declaration.preemptible_price);
    }
    const auto locations = static_cast<double>(input.declaration.location_prices.size());
    return locations > 0 ? sum / locations : 0;
  }

  /// \return the price per second of `engines` engines plus the value per second of the work on
  ///   answers that are late with that many engines
  double cost(const PoolInput& input, std::uint32_t engines, double price) const {
    const auto locations = static_cast<double>(input.declaration.location_prices.size());
    const double all = engines;
    // Assumes that the platform reclaims all preemptible engines of one location together.
    const double after_loss = all - all / locations * (1 - settings_.lasting_share);
    const double lost = (1 - settings_.loss_share) * lateWork(input, all) +
                        settings_.loss_share * lateWork(input, after_loss);
    return all * price + settings_.worth_of_work * lost;
  }

  /// \return the mean number of engines that are busy with late answers, averaged over the recent
  ///   loads
  double lateWork(const PoolInput& input, double engines) const {
    double lost = 0;
    for (const PoolLoad& load : input.loads) {
      const double mean = engines > 0 ? load.busy_engines / engines : kFullUtilisation;
      lost += load.busy_engines * lateShare(settings_.unevenness * mean, load);
    }
    return lost / static_cast<double>(input.loads.size());
  }
};

class FixedPlanner final : public Planner {
 public:
  explicit FixedPlanner(const AutoscalingSettings& settings) : settings_(settings) {}

  PoolPlan plan(const PoolInput& input) const override {
    PoolPlan plan;
    const AutoscalingDeclaration& declared = input.declaration;
    for (const auto& [location, price] : declared.location_prices) {
      const auto lasting = static_cast<std::uint32_t>(
          std::min<std::size_t>(settings_.fixed_lasting, declared.maximum_engines));
      const auto preemptible = static_cast<std::uint32_t>(
          std::min<std::size_t>(settings_.fixed_preemptible, declared.maximum_engines - lasting));
      plan.wanted[location] = offersPreemptible(input) ? EngineCounts{lasting, preemptible}
                                                       : EngineCounts{lasting + preemptible, 0};
    }
    plan.reason = describe("fixed", plan.wanted, peakLoad(input));
    return plan;
  }

 private:
  const AutoscalingSettings settings_;
};

}  // namespace

std::uint32_t totalOf(const PoolCounts& counts) {
  std::uint32_t total = 0;
  for (const auto& [location, engines] : counts) {
    total += engines.total();
  }
  return total;
}

double lateShare(double utilisation, const PoolLoad& load) {
  const double busy = std::min(utilisation, kFullUtilisation);
  if (load.long_prompt_seconds <= 0) {
    return utilisation >= 1 ? 1.0 : 0.0;
  }
  const double waited =
      busy * std::exp(-(1 - busy) * load.slack_seconds / load.long_prompt_seconds);
  return utilisation > 1 ? std::max(waited, 1 - 1 / utilisation) : waited;
}

std::unique_ptr<Planner> makePlanner(const AutoscalingSettings& settings) {
  switch (settings.policy) {
    case Policy::kNone:
      return nullptr;
    case Policy::kFixed:
      return std::make_unique<FixedPlanner>(settings);
    case Policy::kThreshold:
      return std::make_unique<ThresholdPlanner>(settings);
    case Policy::kWorth:
      return std::make_unique<MarginalValuePlanner>(settings);
  }
  return nullptr;
}

}  // namespace cypresswall::autoscaling
