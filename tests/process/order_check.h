/// What an engine's ledger of orders has to show.
#pragma once

#include <nlohmann/json.hpp>

namespace cypresswall::testing {

/// Fails the test unless no stream was cut by an order, accepted orders of one life of an engine
/// never go back in epoch, and no two orders with one number differ.
void checkOrders(const nlohmann::json& ledger);

}  // namespace cypresswall::testing
