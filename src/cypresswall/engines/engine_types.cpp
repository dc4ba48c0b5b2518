#include "cypresswall/engines/engine_types.h"

namespace cypresswall::engines {

const char* toString(EngineRole role) {
  switch (role) {
    case EngineRole::kMixed:
      return "mixed";
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
  }
  return "unknown";
}

const char* toString(OrderKind kind) {
  switch (kind) {
    case OrderKind::kRaiseFence:
      return "raise-fence";
    case OrderKind::kChangeRole:
      return "change-role";
    case OrderKind::kLoadModel:
      return "load-model";
    case OrderKind::kLoadAdapter:
      return "load-adapter";
    case OrderKind::kUnloadAdapter:
      return "unload-adapter";
  }
  return "unknown";
}

bool parseRole(const std::string& text, EngineRole& role) {
  for (const auto candidate : {EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode}) {
    if (text == toString(candidate)) {
      role = candidate;
      return true;
    }
  }
  return false;
}

}  // namespace cypresswall::engines
