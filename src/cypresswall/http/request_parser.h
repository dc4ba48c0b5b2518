/// RESTinio's request parser with callbacks that pass the body to the connection's IncomingRequest.
/// RESTinio's own callbacks keep an entry for each chunk of a body, reserve memory for a body that
/// is only announced, and know neither limits that change nor what other connections hold.
#pragma once

#include <http_parser.h>

#include <restinio/http_server.hpp>

namespace cypresswall::http {

/// Selects the callbacks in RESTinio's traits.
class RequestMethods : public restinio::default_http_methods_t {};

}  // namespace cypresswall::http

template <>
http_parser_settings
restinio::impl::create_parser_settings<cypresswall::http::RequestMethods>() noexcept;
