#include "apps/cypressctl/explain.h"

#include <iostream>

#include "cypresswall/request_trace/explanation.h"
#include "cypresswall/request_trace/time_line_rendering.h"

namespace cypresswall::cypressctl {

operators::ExitCode explain(const std::vector<std::string>& logs, const std::string& request) {
  using operators::ExitCode;
  if (logs.empty() || request.empty()) {
    std::cerr << "usage: cypressctl explain LOGFILES... --request ID\n";
    return ExitCode::kUsage;
  }
  try {
    const auto explanation = request_trace::explainRequest(logs, request);
    std::cerr << request_trace::renderUnreadable(explanation.counts);
    if (explanation.omitted_lines > 0) {
      std::cerr << explanation.omitted_lines << " more lines of this request are not shown\n";
    }
    std::cout << request_trace::renderTimeLine(explanation.time_line,
                                               request_trace::diagnose(explanation.time_line));
    return ExitCode::kDone;
  } catch (const request_trace::UnknownRequestError& error) {
    std::cerr << error.what() << "\n";
    return ExitCode::kRefused;
  } catch (const request_trace::LogFileError& error) {
    std::cerr << error.what() << "\n";
    return ExitCode::kUsage;
  }
}

}  // namespace cypresswall::cypressctl
