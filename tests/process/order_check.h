/// Checks an engine's ledger of orders.
#pragma once

#include <nlohmann/json.hpp>

namespace cypresswall::testing {

/// Fails the test if an order cut a stream, if accepted orders of one engine incarnation go back in
/// epoch, or if two orders with the same number differ.
void checkOrders(const nlohmann::json& ledger);

}  // namespace cypresswall::testing
