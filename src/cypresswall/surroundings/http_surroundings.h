/// The surroundings that speak the project's own protocols (docs/protocols.md), with the gateway
/// for callers.
#pragma once

#include <memory>

#include "cypresswall/surroundings/surroundings.h"

namespace cypresswall::surroundings {

std::unique_ptr<Surroundings> makeHttpSurroundings(const SurroundingsContext& context);

}  // namespace cypresswall::surroundings
