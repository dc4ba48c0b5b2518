#include "cypresswall/gateway/header_filter.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <string>
#include <string_view>

namespace cypresswall::gateway {
namespace {

using NameSet = std::set<std::string, std::less<>>;

/// Connection-specific headers (RFC 9110, section 7.6.1) and message framing headers.
const NameSet& connectionHeaders() {
  static const NameSet kNames = {
      "connection",
      "keep-alive",
      "proxy-connection",
      "proxy-authenticate",
      "proxy-authorization",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade",
      "host",
      "content-length",
      "expect",
  };
  return kNames;
}

/// Headers that the system sets or interprets itself.
const NameSet& reservedHeaders() {
  static const NameSet kNames = {
      "authorization",
      "idempotency-key",
      "x-request-id",
      "x-cypresswall-outcome",
  };
  return kNames;
}

std::string lowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

/// Adds the header names listed in a Connection header.
void addListedNames(std::string_view list, NameSet& names) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    auto item = list.substr(0, comma);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) {
      item.remove_prefix(1);
    }
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) {
      item.remove_suffix(1);
    }
    names.insert(lowerCase(item));
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

template <typename To, typename From>
std::vector<To> filterHeaders(const std::vector<From>& headers) {
  NameSet listed;
  for (const From& header : headers) {
    if (lowerCase(header.name) == "connection") {
      addListedNames(header.value, listed);
    }
  }
  std::vector<To> passed;
  for (const From& header : headers) {
    const auto name = lowerCase(header.name);
    if (!connectionHeaders().contains(name) && !reservedHeaders().contains(name) &&
        !listed.contains(name)) {
      passed.push_back({header.name, header.value});
    }
  }
  return passed;
}

}  // namespace

std::vector<services::HttpHeader> headersForService(const std::vector<http::Header>& headers) {
  return filterHeaders<services::HttpHeader>(headers);
}

std::vector<http::Header> headersForCaller(const std::vector<services::HttpHeader>& headers) {
  return filterHeaders<http::Header>(headers);
}

}  // namespace cypresswall::gateway
