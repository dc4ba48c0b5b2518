/// Base of every exception that cypresswall throws. Each layer derives its own type from it and
/// turns the errors of the layer below into its own.
#pragma once

#include <stdexcept>
#include <string>

namespace cypresswall::common {

class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cypresswall::common
