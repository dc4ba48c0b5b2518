#include "cypresswall/simulation/event_digest.h"

#include <array>
#include <cstring>

#include "cypresswall/common/prompt.h"

namespace cypresswall::simulation {

void EventDigest::add(common::MonotonicTime when, std::string_view what, std::uint64_t number,
                      std::string_view content) {
  const std::array<std::uint64_t, 4> words{
      static_cast<std::uint64_t>(when.time_since_epoch().count()), number, common::hash64(what),
      content.empty() ? 0 : common::hash64(content)};
  std::array<char, sizeof(words)> bytes{};
  std::memcpy(bytes.data(), words.data(), sizeof(words));
  value_ = common::hash64(std::string_view(bytes.data(), bytes.size()), value_);
  ++events_;
}

}  // namespace cypresswall::simulation
