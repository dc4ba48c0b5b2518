#include "bench/load/request_mix.h"

#include <cmath>
#include <cstdlib>
#include <sstream>

#include "cypresswall/common/prompt.h"

namespace cypresswall::bench {
namespace {

constexpr std::size_t kLeastParts = 4;
constexpr std::size_t kMostParts = 5;

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    parts.push_back(part);
  }
  return parts;
}

double parseNumber(const std::string& kind, const std::string& text, double least) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !std::isfinite(number) || number < least) {
    throw MixError("\"" + kind + "\": " + text + " is not a number of at least " +
                   std::to_string(static_cast<int>(least)));
  }
  return number;
}

}  // namespace

std::vector<RequestKind> parseMix(const std::string& text, const std::string& default_service) {
  std::vector<RequestKind> kinds;
  for (const std::string& description : split(text, ',')) {
    const std::vector<std::string> parts = split(description, ':');
    if (parts.size() < kLeastParts || parts.size() > kMostParts) {
      throw MixError("\"" + description +
                     "\" is not name:share:prompt_tokens:output_tokens[:service]");
    }
    RequestKind kind;
    kind.name = parts[0];
    kind.share = parseNumber(description, parts[1], 0);
    kind.prompt_tokens = static_cast<std::uint32_t>(parseNumber(description, parts[2], 1));
    kind.output_tokens = static_cast<std::uint32_t>(parseNumber(description, parts[3], 1));
    kind.service = parts.size() == kMostParts ? parts[4] : default_service;
    kinds.push_back(kind);
  }
  if (kinds.empty()) {
    throw MixError("the mix is empty");
  }
  return kinds;
}

std::size_t drawKind(const std::vector<RequestKind>& kinds, common::RandomSource& random) {
  double total = 0;
  for (const RequestKind& kind : kinds) {
    total += kind.share;
  }
  double left = random.unit() * total;
  for (std::size_t index = 0; index + 1 < kinds.size(); ++index) {
    left -= kinds[index].share;
    if (left < 0) {
      return index;
    }
  }
  return kinds.size() - 1;
}

std::string makePrompt(std::uint64_t number, std::uint32_t tokens) {
  const std::size_t length = std::size_t{tokens} * common::kBytesPerToken;
  std::string prompt = "request " + std::to_string(number) + " ";
  std::uint64_t word = number * 0x9E3779B97F4A7C15ULL + 1;
  while (prompt.size() < length) {
    word = word * 6364136223846793005ULL + 1442695040888963407ULL;
    prompt += std::to_string(word >> 40);
    prompt += ' ';
  }
  prompt.resize(std::max(length, std::size_t{common::kBytesPerToken}));
  return prompt;
}

}  // namespace cypresswall::bench
