#include "cypresswall/execution/answer_lengths.h"

#include <algorithm>
#include <cmath>

namespace cypresswall::execution {
namespace {

/// Bounds of the bins: from 1/1024 to 64, four bins for each doubling.
constexpr double kLowestExponent = -10;
constexpr double kBinsPerDoubling = 4;
/// Weight that earlier answers keep with each completed one: some 200 answers count.
constexpr double kRetention = 0.995;
/// Number of completed answers from which on a distribution is used.
constexpr std::uint64_t kMinimumAnswers = 8;

double ratioAt(double bin) { return std::exp2(bin / kBinsPerDoubling + kLowestExponent); }

}  // namespace

std::size_t AnswerLengths::binOf(double ratio) {
  const double bin = std::floor((std::log2(ratio) - kLowestExponent) * kBinsPerDoubling);
  return static_cast<std::size_t>(std::clamp(bin, 0.0, static_cast<double>(kBins - 1)));
}

void AnswerLengths::completed(const common::ServiceName& service, std::uint32_t announced,
                              std::uint32_t given) {
  if (announced == 0 || given == 0) {
    return;
  }
  Distribution& lengths = services_[service];
  for (float& weight : lengths.weights) {
    weight *= static_cast<float>(kRetention);
  }
  lengths.weights[binOf(static_cast<double>(given) / announced)] += 1;
  ++lengths.answers;
  lengths.announced = lengths.announced * kRetention + announced;
  lengths.given = lengths.given * kRetention + given;
}

std::optional<double> AnswerLengths::expectedLeft(const common::ServiceName& service,
                                                  std::uint32_t announced,
                                                  std::uint32_t given) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.answers < kMinimumAnswers || announced == 0) {
    return std::nullopt;
  }
  const auto& weights = found->second.weights;
  double longer = 0;
  double left = 0;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    constexpr double kMiddle = 0.5;
    const double length = ratioAt(static_cast<double>(bin) + kMiddle) * announced;
    if (length > given) {
      longer += weights[bin];
      left += weights[bin] * (length - given);
    }
  }
  // An answer that is longer than all known ones is taken to be near its end.
  return longer > 0 ? std::max(left / longer, 1.0) : 1.0;
}

double AnswerLengths::announcedPerGiven(const common::ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() || found->second.given <= 0
             ? 1
             : found->second.announced / found->second.given;
}

}  // namespace cypresswall::execution
