#include "cypresswall/execution/service_operation.h"

namespace cypresswall::execution {
namespace {

bool matches(const configuration::OperationDeclaration& operation, const std::string& method,
             const std::string& path) {
  const bool method_matches = operation.method.empty() || operation.method == method;
  return method_matches && path.rfind(operation.path_prefix, 0) == 0;
}

/// \pre both operations match the call
/// \return true if `operation` takes precedence over `other`
bool moreSpecific(const configuration::OperationDeclaration& operation,
                  const configuration::OperationDeclaration& other) {
  if (operation.path_prefix.size() != other.path_prefix.size()) {
    return operation.path_prefix.size() > other.path_prefix.size();
  }
  return other.method.empty() && !operation.method.empty();
}

}  // namespace

configuration::OperationDeclaration findOperation(
    const configuration::HttpServiceDeclaration& service, const std::string& method,
    const std::string& target) {
  const auto path = target.substr(0, target.find('?'));
  const configuration::OperationDeclaration* best = nullptr;
  for (const auto& operation : service.operations) {
    if (matches(operation, method, path) && (best == nullptr || moreSpecific(operation, *best))) {
      best = &operation;
    }
  }
  if (best != nullptr) {
    return *best;
  }
  configuration::OperationDeclaration undeclared;
  undeclared.method = method;
  undeclared.repeatable = method == "GET" || method == "HEAD";
  return undeclared;
}

}  // namespace cypresswall::execution
