/// Learns how long the answers of a service are compared with what their callers announced.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::execution {

/// For each service, the distribution of the ratio of the delivered tokens to the announced ones.
/// The announcement may be a limit that few answers reach, a guess, or count in other units than
/// the delivered events; the learned ratio covers all of these. Has no clock and does no I/O.
class AnswerLengths {
 public:
  void completed(const common::ServiceName& service, std::uint32_t announced, std::uint32_t given);
  /// \return the expected number of tokens still to come of an answer that goes on after `given`
  ///   tokens; empty until enough answers of the service were completed
  std::optional<double> expectedLeft(const common::ServiceName& service, std::uint32_t announced,
                                     std::uint32_t given) const;
  /// \return announced tokens for each delivered one, in the mean; 1 until answers were completed
  double announcedPerGiven(const common::ServiceName& service) const;

 private:
  static constexpr std::size_t kBins = 64;
  /// Weights of the ratios. Bin i holds ratios from kLowestRatio * kBinFactor^i on.
  struct Distribution {
    std::array<float, kBins> weights{};
    std::uint64_t answers = 0;
    double announced = 0;
    double given = 0;
  };

  static std::size_t binOf(double ratio);

  std::map<common::ServiceName, Distribution> services_;
};

}  // namespace cypresswall::execution
