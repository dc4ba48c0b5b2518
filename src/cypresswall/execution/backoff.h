/// Exponential back-off between attempts.
#pragma once

#include <cstdint>

#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"
#include "cypresswall/execution/execution_settings.h"

namespace cypresswall::execution {

/// \param retry number of the retry, starting at 1
/// \return the delay before that retry, with jitter; zero for the first retry
common::Duration backoffBefore(std::uint32_t retry, const ExecutionSettings& settings,
                               common::RandomSource& random);

}  // namespace cypresswall::execution
