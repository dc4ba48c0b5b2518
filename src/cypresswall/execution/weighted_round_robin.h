/// Weighted distribution of requests over several targets.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace cypresswall::execution {

/// Smooth weighted round robin. After any number of requests, the number of requests that each
/// target received differs from its share by weight by at most one. The weights are therefore also
/// respected on a node with few requests.
class WeightedRoundRobin {
 public:
  /// Selects the target of the next request.
  /// \param name name of the group of targets; its state is reset if its number of targets changes
  /// \param weights weights of the targets; at least one target, no negative weights
  /// \return the index of the selected target
  std::size_t next(const std::string& name, const std::vector<double>& weights);

 private:
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace cypresswall::execution
