#include "cypresswall/execution/service_operation.h"

namespace cypresswall::execution {
namespace {

bool matches(const configuration::OperationDeclaration& operation, const std::string& method,
             const std::string& path) {
  return operation.method == method && path.rfind(operation.path_prefix, 0) == 0;
}

}  // namespace

configuration::OperationDeclaration findOperation(
    const configuration::HttpServiceDeclaration& service, const std::string& method,
    const std::string& target) {
  const auto path = target.substr(0, target.find('?'));
  const configuration::OperationDeclaration* best = nullptr;
  for (const auto& operation : service.operations) {
    const bool longer = best == nullptr || operation.path_prefix.size() > best->path_prefix.size();
    if (longer && matches(operation, method, path)) {
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
