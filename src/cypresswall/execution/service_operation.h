/// Lookup of the declared operation for a call to a plain HTTP service.
#pragma once

#include <string>

#include "cypresswall/configuration/fleet.h"

namespace cypresswall::execution {

/// Finds the operation declared for that method or for any method with the longest matching path
/// prefix. Among equal prefixes, one declared for the method takes precedence.
/// \param target path with query
/// \return the operation; if none is declared, a default that is repeatable for GET and HEAD only
configuration::OperationDeclaration findOperation(
    const configuration::HttpServiceDeclaration& service, const std::string& method,
    const std::string& target);

}  // namespace cypresswall::execution
