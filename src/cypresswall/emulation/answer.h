/// The answers that emulated engines give: a pure function of what was asked, so that a test can
/// check every answer byte by byte whichever engines computed it.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::emulation {

/// Names one answer; equal requests to equal models have equal seeds.
using AnswerSeed = std::uint64_t;

/// \param content_hash PromptShape::content_hash of the prompt
AnswerSeed answerSeed(const common::ModelName& model, const std::string& version,
                      const std::string& adapter, std::uint64_t content_hash);

/// \return the text of token `index` (from 0), with its leading blank; valid for the program's
///   life.
const std::string& expectedToken(AnswerSeed seed, std::uint32_t index);

/// \return number of tokens in the whole answer, between `minimum_share` of `maximum_tokens` and
///   `maximum_tokens`, at least 1.
std::uint32_t expectedLength(AnswerSeed seed, std::uint32_t maximum_tokens, double minimum_share);

/// \return the first `length` tokens as one text.
std::string expectedAnswer(AnswerSeed seed, std::uint32_t length);

}  // namespace cypresswall::emulation
