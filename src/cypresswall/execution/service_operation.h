/// What the configuration says of one call to a plain HTTP service.
#pragma once

#include <string>

#include "cypresswall/configuration/fleet.h"

namespace cypresswall::execution {

/// Finds the declared operation of that method, or of any, with the longest path prefix; of two
/// with the same prefix the one that names the method. \param target path with query \return the
/// operation; if none is declared, one that may be repeated only for GET and HEAD
configuration::OperationDeclaration findOperation(
    const configuration::HttpServiceDeclaration& service, const std::string& method,
    const std::string& target);

}  // namespace cypresswall::execution
