#include "cypresswall/http/request_parser.h"

#include <climits>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <optional>

#include "cypresswall/http/incoming_request.h"

namespace cypresswall::http {
namespace {

constexpr int kContinueParsing = 0;
constexpr int kStopParsing = -1;

/// Calls `accept` with the request that `parser` receives. Exceptions must not pass the parser,
/// which is C code.
/// \return the result of a callback, which stops the parser unless the request is accepted
template <typename Accept>
int resultFor(const http_parser* parser, Accept accept) noexcept {
  IncomingRequest* const request = IncomingRequest::of(parser);
  if (request == nullptr) {
    return kStopParsing;
  }
  try {
    return accept(*request) ? kContinueParsing : kStopParsing;
  } catch (const std::exception& error) {
    request->fail(error.what());
    return kStopParsing;
  }
}

int onMessageBegin(http_parser* parser) {
  IncomingRequest* request = IncomingRequest::of(parser);
  if (request == nullptr) {
    // The first request of a connection begins while the connection reads.
    request = IncomingRequest::Reading::current();
  }
  if (request == nullptr) {
    return kStopParsing;
  }
  request->begin(parser);
  return kContinueParsing;
}

using DataCallback = int (*)(http_parser*, const char*, std::size_t);

template <DataCallback keep>
int onHead(http_parser* parser, const char* data, std::size_t size) {
  return resultFor(parser, [&](IncomingRequest& request) {
    return request.addHead(size) && keep(parser, data, size) == kContinueParsing;
  });
}

int onHeadersComplete(http_parser* parser) {
  return resultFor(parser, [parser](IncomingRequest& request) {
    // Fields that follow are trailers.
    static_cast<restinio::impl::http_parser_ctx_t*>(parser->data)->m_leading_headers_completed =
        true;
    std::optional<std::uint64_t> announced;
    if (parser->content_length != ULLONG_MAX) {
      announced = parser->content_length;
    }
    return request.completeHead(announced);
  });
}

int onBody(http_parser* parser, const char* data, std::size_t size) {
  return resultFor(parser, [&](IncomingRequest& request) {
    return request.appendBody({data, size});
  });
}

http_parser_settings makeSettings() noexcept {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = onMessageBegin;
  settings.on_url = onHead<restinio::impl::restinio_url_cb>;
  settings.on_header_field = onHead<restinio::impl::restinio_header_field_cb>;
  settings.on_header_value = onHead<restinio::impl::restinio_header_value_cb>;
  settings.on_headers_complete = onHeadersComplete;
  settings.on_body = onBody;
  settings.on_message_complete = restinio::impl::restinio_message_complete_cb<RequestMethods>;
  return settings;
}

}  // namespace
}  // namespace cypresswall::http

template <>
http_parser_settings
restinio::impl::create_parser_settings<cypresswall::http::RequestMethods>() noexcept {
  return cypresswall::http::makeSettings();
}
