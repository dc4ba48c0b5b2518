/// Resolution of the model or service name in a call against the current configuration.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cypresswall/common/prompt.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/execution/model_executor.h"

namespace cypresswall::execution {

/// The model that a call refers to, with the limits that apply to it.
struct ModelTarget {
  configuration::ModelServiceDeclaration service;
  std::string version;
  std::uint32_t maximum_tokens = 0;
  common::PromptShape shape;
};

/// Looks up the declared model service that `call` names. If there is none, uses the model of that
/// name with the default limits of an undeclared service. Also determines the shape of the prompt.
/// \return the target; empty if the configuration has no such service or model
std::optional<ModelTarget> resolveTarget(const configuration::FleetConfiguration& fleet,
                                         const ModelCall& call);

}  // namespace cypresswall::execution
