#include "cypresswall/emulation/answer.h"

#include <algorithm>
#include <array>
#include <vector>

#include "cypresswall/common/prompt.h"

namespace cypresswall::emulation {
namespace {

constexpr std::array<const char*, 32> kSyllables = {
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "ta", "te", "ti", "to"};

/// \return all words that consist of two of the syllables, each with a leading space.
std::vector<std::string> makeWords() {
  std::vector<std::string> words;
  words.reserve(kSyllables.size() * kSyllables.size());
  for (const char* first : kSyllables) {
    for (const char* second : kSyllables) {
      words.push_back(std::string(" ") + first + second);
    }
  }
  return words;
}

/// The finalizer of splitmix64.
std::uint64_t mix(std::uint64_t value) {
  value += 0x9E3779B97F4A7C15ULL;
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31);
}

}  // namespace

AnswerSeed answerSeed(const common::ModelName& model, const std::string& version,
                      const std::string& adapter, std::uint64_t content_hash,
                      const common::BuildName& build) {
  const auto seed = common::hash64(model + "/" + version + "/" + adapter, content_hash);
  return build.empty() ? seed : common::hash64(build, seed);
}

const std::string& expectedToken(AnswerSeed seed, std::uint32_t index) {
  static const std::vector<std::string> words = makeWords();
  return words[mix(seed ^ mix(index)) % words.size()];
}

std::uint32_t expectedLength(AnswerSeed seed, std::uint32_t maximum_tokens, double minimum_share) {
  const auto shortest = static_cast<std::uint32_t>(maximum_tokens * minimum_share);
  const std::uint32_t span = maximum_tokens - std::min(shortest, maximum_tokens);
  const auto length =
      maximum_tokens - static_cast<std::uint32_t>(mix(seed) % (std::uint64_t{span} + 1));
  return std::max(length, std::uint32_t{1});
}

std::string expectedAnswer(AnswerSeed seed, std::uint32_t length) {
  std::string answer;
  for (std::uint32_t index = 0; index < length; ++index) {
    answer += expectedToken(seed, index);
  }
  return answer;
}

}  // namespace cypresswall::emulation
