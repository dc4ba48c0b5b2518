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

/// Looks up the declared model service that `call` names, or else the model of that name with the
/// default limits of an undeclared service, and measures the prompt.
/// \return empty if the configuration has neither
std::optional<ModelTarget> resolveTarget(const configuration::FleetConfiguration& fleet,
                                         const ModelCall& call);

}  // namespace cypresswall::execution
