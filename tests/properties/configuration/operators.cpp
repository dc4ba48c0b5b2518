#include "tests/properties/configuration/operators.h"

#include <utility>

namespace cypresswall::testing {

OperatorChange& Operators::submit(std::size_t node, std::optional<std::uint64_t> expected_version) {
  OperatorChange& change = changes_.emplace_back();
  change.tenant = "tenant-" + std::to_string(changes_.size());
  if (!fleet_.running(node)) {
    return change;
  }
  change.node = fleet_.slot(node).process->id();
  configuration::ConfigurationChangeRequest request;
  request.change_id = "change-of-" + change.tenant;
  request.author = "operator-of-" + change.tenant;
  request.expected_version = expected_version;
  request.late_delivery = true;
  request.objects.push_back(
      {configuration::ObjectKind::kTenant, change.tenant, false,
       R"({"name": ")" + change.tenant + R"(", "api_key": ")" + change.tenant + R"(-key"})"});
  fleet_.submit(node, std::move(request), [this, &change](configuration::CommitResult result) {
    change.result = std::move(result);
    change.answered_at = fleet_.time().now();
  });
  return change;
}

OperatorChange& Operators::change(std::size_t node) { return submit(node, std::nullopt); }

void Operators::submitRacingChanges(std::size_t first, std::size_t second) {
  if (!fleet_.running(first) || !fleet_.running(second)) {
    return;
  }
  const auto version = fleet_.slot(first).node->configuration().current()->version;
  submit(first, version).race = races_;
  submit(second, version).race = races_;
  ++races_;
  fleet_.faults().add(simulation::FaultKind::kOperatorRace);
}

void Operators::planChanges(std::uint32_t changes, std::uint32_t races, common::Duration within) {
  auto& random = fleet_.simulation().random();
  const auto anyTime = [&] { return common::Duration(random.below(within.count())); };
  const auto anyNode = [this] { return fleet_.simulation().random().below(fleet_.nodeCount()); };
  for (std::uint32_t number = 0; number < changes; ++number) {
    fleet_.time().schedule(anyTime(), [this, anyNode] { change(anyNode()); });
  }
  for (std::uint32_t number = 0; number < races; ++number) {
    fleet_.time().schedule(anyTime(),
                           [this, anyNode] { submitRacingChanges(anyNode(), anyNode()); });
  }
}

}  // namespace cypresswall::testing
