/// Lookup of the declared operation for a call to a plain HTTP service.
#pragma once

#include <string>

#include "cypresswall/configuration/fleet.h"

namespace cypresswall::execution {

/// Finds the declared operation with the longest path prefix that matches the call. Operations
/// declared for `method` or for any method are considered; among those with equal prefixes, one
/// declared for `method` takes precedence.
/// \param target path, optionally with a query, which is ignored
/// \return the operation; if none is declared, a default that is repeatable for GET and HEAD only
configuration::OperationDeclaration findOperation(
    const configuration::HttpServiceDeclaration& service, const std::string& method,
    const std::string& target);

}  // namespace cypresswall::execution
