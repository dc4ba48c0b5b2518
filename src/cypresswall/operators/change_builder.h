/// Translates configuration commands into changes of declared objects.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/operators/command.h"

namespace cypresswall::operators {

/// A command is syntactically correct but can't be executed, for example because it names an
/// undeclared object.
class CommandError : public common::Error {
 public:
  using common::Error::Error;
};

/// The fleet file sent with an `apply` command.
struct FleetFileText {
  std::string name;
  std::string text;
};

/// \return the changes that `command` makes to `current`, not yet validated; empty if there are
///   none.
/// \throws CommandError, configuration::FleetFileError
std::vector<configuration::ObjectChange> buildChanges(
    const Command& command, const configuration::FleetConfiguration& current,
    const FleetFileText& file);

}  // namespace cypresswall::operators
