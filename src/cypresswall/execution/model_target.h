/// What a caller's "model" stands for in the configuration in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cypresswall/common/prompt.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/execution/model_executor.h"

namespace cypresswall::execution {

/// The model behind a call, with the limits that hold for it.
struct ModelTarget {
  configuration::ModelServiceDeclaration service;
  std::string version;
  std::uint32_t maximum_tokens = 0;
  common::PromptShape shape;
};

/// Finds the declared model service that `call` names, or the model of that name with the limits of
/// an undeclared service, and measures the prompt.
/// \return nothing if the configuration has neither
std::optional<ModelTarget> resolveTarget(const configuration::FleetConfiguration& fleet,
                                         const ModelCall& call);

}  // namespace cypresswall::execution
