/// Divides a stream of requests over several parts by weight.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace cypresswall::execution {

/// Smooth weighted round robin: over any run of requests each part's number of turns stays within
/// one of its share, so that a small node keeps the shares too.
class WeightedRoundRobin {
 public:
  /// Takes the next turn of a division.
  /// \param name names the division; its state starts anew when the number of parts changes
  /// \param weights not negative; at least one
  /// \return the part whose turn it is
  std::size_t next(const std::string& name, const std::vector<double>& weights);

 private:
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace cypresswall::execution
