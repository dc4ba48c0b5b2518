#include "bench/load/load_result.h"

#include <numeric>

namespace cypresswall::bench {
namespace {

void add(KindResult& sum, const KindResult& other) {
  for (std::size_t index = 0; index < kRequestEnds; ++index) {
    sum.ends[index] += other.ends[index];
  }
  sum.first_token.merge(other.first_token);
  sum.tokens += other.tokens;
}

}  // namespace

const char* toString(RequestEnd end) {
  constexpr std::array<const char*, kRequestEnds> kNames = {
      "done", "refused", "not_run", "unknown", "broken", "wrong", "not_sent", "abandoned"};
  return kNames[static_cast<std::size_t>(end)];
}

std::uint64_t KindResult::requests() const {
  return std::accumulate(ends.begin(), ends.end(), std::uint64_t{0});
}

void LoadResult::merge(const LoadResult& other) {
  for (const auto& [name, kind] : other.kinds) {
    add(kinds[name], kind);
  }
  between_tokens.merge(other.between_tokens);
  refusal.merge(other.refusal);
  refusals_with_retry_after += other.refusals_with_retry_after;
  sent_late += other.sent_late;
  for (const auto& [message, count] : other.errors) {
    errors[message] += count;
  }
}

KindResult LoadResult::total() const {
  KindResult total;
  for (const auto& [name, kind] : kinds) {
    add(total, kind);
  }
  return total;
}

}  // namespace cypresswall::bench
