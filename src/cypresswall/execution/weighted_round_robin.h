/// Weighted distribution of requests over several targets.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace cypresswall::execution {

/// Smooth weighted round robin. Over any sequence of requests the count of each target stays within
/// one of its share, so that the weights also hold on a node with few requests.
class WeightedRoundRobin {
 public:
  /// Selects the target of the next request.
  /// \param name identifies the group of targets; its state is reset if the number of targets
  /// changes \param weights non-negative; at least one \return index of the selected target
  std::size_t next(const std::string& name, const std::vector<double>& weights);

 private:
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace cypresswall::execution
