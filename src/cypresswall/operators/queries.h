/// Answers queries from the configuration in force and from what the daemon's parts report.
#pragma once

#include "cypresswall/common/identifiers.h"
#include "cypresswall/configuration/configuration_replica.h"
#include "cypresswall/operators/command.h"
#include "cypresswall/operators/result_table.h"
#include "cypresswall/operators/state_providers.h"

namespace cypresswall::operators {

class Queries {
 public:
  /// \param zone this node's own zone
  Queries(common::ZoneName zone, const configuration::ConfigurationReplica& configuration,
          const StateProviders& providers)
      : zone_(std::move(zone)), configuration_(configuration), providers_(providers) {}

  ResultTable show(const ShowCommand& command) const;
  /// \throws CommandError if nothing is known of the subject
  ResultTable why(const WhyCommand& command) const;
  ResultTable history(const HistoryCommand& command) const;
  static ResultTable help(const HelpCommand& command);

 private:
  ResultTable engines(const ShowCommand& command) const;
  ResultTable services() const;
  ResultTable models() const;
  ResultTable zones() const;
  ResultTable changes() const;
  ResultTable leases() const;
  ResultTable nodes() const;
  ResultTable tenants() const;
  ResultTable requests() const;
  std::vector<Explanation> explainChange(const std::string& name) const;

  common::ZoneName zone_;
  const configuration::ConfigurationReplica& configuration_;
  const StateProviders& providers_;
};

}  // namespace cypresswall::operators
