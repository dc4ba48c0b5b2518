/// Base class of all exceptions thrown by cypresswall. Each layer derives its own exception type
/// and translates the exceptions of the layer below.
#pragma once

#include <stdexcept>
#include <string>

namespace cypresswall::common {

class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cypresswall::common
