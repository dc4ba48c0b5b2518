#include "cypresswall/runtime/fault_switch.h"

#include <algorithm>

namespace cypresswall::runtime {
namespace {

bool matches(const std::string& entry, const common::Address& address) {
  if (entry.empty()) {
    return false;
  }
  if (entry.back() == '.') {
    return address.starts_with(entry);
  }
  return address == entry || address.starts_with(entry + ":");
}

}  // namespace

bool FaultSwitch::matchesAny(const std::vector<std::string>& entries,
                             const common::Address& address) {
  return std::any_of(entries.begin(), entries.end(),
                     [&](const std::string& entry) { return matches(entry, address); });
}

}  // namespace cypresswall::runtime
