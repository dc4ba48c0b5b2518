#include "cypresswall/configuration/backend_subset.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "cypresswall/common/prompt.h"

namespace cypresswall::configuration {

std::vector<BackendDeclaration> backendSubset(const std::vector<BackendDeclaration>& backends,
                                              const std::string& node, std::size_t maximum) {
  if (maximum == 0 || backends.size() <= maximum) {
    return backends;
  }
  const std::uint64_t seed = common::hash64(node);
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  ranked.reserve(backends.size());
  for (std::size_t index = 0; index < backends.size(); ++index) {
    ranked.emplace_back(common::hash64(backends[index].address, seed), index);
  }
  std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(maximum),
                   ranked.end());
  ranked.resize(maximum);
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
  std::vector<BackendDeclaration> chosen;
  chosen.reserve(maximum);
  for (const auto& [rank, index] : ranked) {
    chosen.push_back(backends[index]);
  }
  return chosen;
}

}  // namespace cypresswall::configuration
