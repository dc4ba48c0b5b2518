#include "cypresswall/http/rejection.h"

#include <charconv>
#include <string_view>

#include "cypresswall/http/status_text.h"

namespace cypresswall::http {
namespace {

constexpr std::string_view kConnectionPrefix = "[connection:";
constexpr std::string_view kParserError = "parser error ";

/// Maps parser errors, by prefix of the parser's error name, to an HTTP status and reason.
struct ParserErrorKind {
  std::string_view name;
  int status;
  std::string_view reason;
};

constexpr ParserErrorKind kParserErrorKinds[] = {
    {"HPE_CB_headers_complete", 413, "request body too large"},
    {"HPE_CB_body", 413, "request body too large"},
    {"HPE_CB_url", 414, "request target too long"},
    {"HPE_CB_header", 431, "request header too large"},
    {"HPE_HEADER_OVERFLOW", 431, "request header too large"},
};

RestinioError parserRejection(std::string_view error) {
  for (const auto& kind : kParserErrorKinds) {
    if (error.starts_with(kind.name)) {
      return {0, kind.status, std::string(kind.reason)};
    }
  }
  return {0, 400, "malformed request: " + std::string(error)};
}

}  // namespace

std::optional<RestinioError> parseRestinioError(const std::string& message) {
  const std::string_view view(message);
  if (!view.starts_with(kConnectionPrefix)) {
    return std::nullopt;
  }
  std::uint64_t connection = 0;
  const char* end = view.data() + view.size();
  const auto number = std::from_chars(view.data() + kConnectionPrefix.size(), end, connection);
  constexpr std::string_view kSeparator = "] ";
  const auto rest = std::string_view(number.ptr, static_cast<std::size_t>(end - number.ptr));
  if (number.ec != std::errc() || !rest.starts_with(kSeparator)) {
    return std::nullopt;
  }
  const auto text = rest.substr(kSeparator.size());
  if (!text.starts_with(kParserError)) {
    return std::nullopt;
  }
  RestinioError fault = parserRejection(text.substr(kParserError.size()));
  fault.connection = connection;
  return fault;
}

std::string rejectionBody(int status, const std::string& reason) {
  const bool own_fault = status >= 500;
  std::string escaped;
  for (const char c : reason) {
    const bool plain = static_cast<unsigned char>(c) >= ' ' && c != '"' && c != '\\' && c != 0x7f &&
                       static_cast<unsigned char>(c) < 0x80;
    escaped += plain ? c : '?';
  }
  return R"({"error":{"message":")" + escaped + R"(","type":")" +
         (own_fault ? "server_error" : "invalid_request_error") + R"(","param":null,"code":")" +
         (own_fault ? "internal_error" : "bad_request") + R"("}})";
}

std::string rejectionAnswer(int status, const std::string& reason,
                            const std::vector<Header>& headers) {
  const auto body = rejectionBody(status, reason);
  std::string answer = "HTTP/1.1 " + std::to_string(status) + " " + statusText(status) + "\r\n";
  for (const Header& header : headers) {
    answer += header.name + ": " + header.value + "\r\n";
  }
  answer += "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
  return answer;
}

}  // namespace cypresswall::http
