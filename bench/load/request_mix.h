/// Kinds of requests in a load, and the generation of their prompts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/random.h"

namespace cypresswall::bench {

/// A "--mix" that can't be parsed.
class MixError : public common::Error {
 public:
  using common::Error::Error;
};

/// One kind of requests.
struct RequestKind {
  std::string name;
  /// Weight of this kind relative to the other kinds.
  double share = 1;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// Declared service or model named in requests to the gateway.
  std::string service;
};

/// \param text "name:share:prompt_tokens:output_tokens[:service]", comma-separated
/// \param default_service for kinds that name none
/// \throws MixError
std::vector<RequestKind> parseMix(const std::string& text, const std::string& default_service);

/// \return the index of a kind, chosen at random in proportion to its share.
std::size_t drawKind(const std::vector<RequestKind>& kinds, common::RandomSource& random);

/// \return a prompt of `tokens` tokens as counted by common::shapeOfPrompt (at least one), unique
///   to `number`.
std::string makePrompt(std::uint64_t number, std::uint32_t tokens);

}  // namespace cypresswall::bench
