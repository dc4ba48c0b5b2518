/// Parser of fleet files: YAML with the top-level lists zones, models, engines, model_services,
/// http_services and tenants, and the map planning. Fields are named as in fleet.h.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::configuration {

/// A fleet file that can't be parsed. what() is "file:line: key: message".
class FleetFileError : public common::Error {
 public:
  FleetFileError(const std::string& file, int line, const std::string& key,
                 const std::string& message);
  /// Line number from 1; zero if unknown.
  int line() const { return line_; }
  /// For example "engines[3].zone".
  const std::string& key() const { return key_; }

 private:
  int line_;
  std::string key_;
};

/// Compares a fleet file with the configuration in force. A list in the file names all objects of
/// its kind: declared objects that are not in the list are removed. Kinds of objects without a list
/// stay unchanged. References between objects are not checked; see checkChange().
/// \param file_name used in errors only
/// \return the changes from `current` to the contents of the file; empty if there are none
/// \throws FleetFileError
std::vector<ObjectChange> differenceToFleetFile(const std::string& text,
                                                const std::string& file_name,
                                                const FleetConfiguration& current);

}  // namespace cypresswall::configuration
