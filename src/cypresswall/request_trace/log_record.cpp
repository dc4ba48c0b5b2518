#include "cypresswall/request_trace/log_record.h"

namespace cypresswall::request_trace {

std::string requestOf(const Event& event) {
  return std::visit(
      [](const auto& one) -> std::string {
        if constexpr (requires { one.request; }) {
          return one.request;
        } else {
          return {};
        }
      },
      event);
}

}  // namespace cypresswall::request_trace
