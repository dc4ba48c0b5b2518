/// Answers of emulated engines. An answer depends only on the request and the model, so that a test
/// can check every byte of it, whichever engines computed it.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::emulation {

/// Number that determines an answer. Equal requests to the same model version and adapter have
/// equal seeds.
using AnswerSeed = std::uint64_t;

/// \param content_hash PromptShape::content_hash of the prompt
/// \param build software build of the engine
AnswerSeed answerSeed(const common::ModelName& model, const std::string& version,
                      const std::string& adapter, std::uint64_t content_hash,
                      const common::BuildName& build = {});

/// \return the text of token `index` (from 0), with its leading space; valid until the program
///   exits.
const std::string& expectedToken(AnswerSeed seed, std::uint32_t index);

/// \return the number of tokens in the whole answer: from `minimum_share` times `maximum_tokens` to
///   `maximum_tokens`, but at least 1.
std::uint32_t expectedLength(AnswerSeed seed, std::uint32_t maximum_tokens, double minimum_share);

/// \return the first `length` tokens as one text.
std::string expectedAnswer(AnswerSeed seed, std::uint32_t length);

}  // namespace cypresswall::emulation
