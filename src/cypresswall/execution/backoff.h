/// The pause before a further attempt.
#pragma once

#include <cstdint>

#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"
#include "cypresswall/execution/execution_settings.h"

namespace cypresswall::execution {

/// \param retry number of the retry, from 1
/// \return the pause before it, with jitter; zero before the first
common::Duration backoffBefore(std::uint32_t retry, const ExecutionSettings& settings,
                               common::RandomSource& random);

}  // namespace cypresswall::execution
