/// Settings of all modules of one node.
#pragma once

#include "cypresswall/configuration/configuration_settings.h"
#include "cypresswall/execution/execution_settings.h"
#include "cypresswall/lease/lease_settings.h"
#include "cypresswall/membership/membership_settings.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::node {

struct NodeSettings {
  membership::MembershipSettings membership;
  lease::LeaseSettings lease;
  configuration::ConfigurationSettings configuration;
  routing::DirectorySettings directory;
  routing::RouterSettings router;
  execution::ExecutionSettings execution;
};

}  // namespace cypresswall::node
