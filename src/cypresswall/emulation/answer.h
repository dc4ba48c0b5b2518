/// Answers of emulated engines. An answer is a pure function of the request, so a test can check it
/// byte by byte, whichever engines computed it.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::emulation {

/// Determines one answer; equal requests to equal models have equal seeds.
using AnswerSeed = std::uint64_t;

/// \param content_hash PromptShape::content_hash of the prompt
AnswerSeed answerSeed(const common::ModelName& model, const std::string& version,
                      const std::string& adapter, std::uint64_t content_hash);

/// \return the text of token `index` (from 0), with its leading space; valid until the program
///   exits.
const std::string& expectedToken(AnswerSeed seed, std::uint32_t index);

/// \return number of tokens in the whole answer, between `minimum_share` of `maximum_tokens` and
///   `maximum_tokens`, at least 1.
std::uint32_t expectedLength(AnswerSeed seed, std::uint32_t maximum_tokens, double minimum_share);

/// \return the first `length` tokens as one text.
std::string expectedAnswer(AnswerSeed seed, std::uint32_t length);

}  // namespace cypresswall::emulation
