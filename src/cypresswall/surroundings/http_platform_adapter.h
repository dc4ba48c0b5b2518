/// The platform adapter for this project's own protocols (docs/protocols.md), with the HTTP gateway
/// as its frontend.
#pragma once

#include <memory>

#include "cypresswall/surroundings/platform_adapter.h"

namespace cypresswall::surroundings {

std::unique_ptr<PlatformAdapter> makeHttpPlatformAdapter(const PlatformAdapterContext& context);

}  // namespace cypresswall::surroundings
