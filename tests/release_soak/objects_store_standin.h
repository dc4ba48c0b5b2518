/// Stand-in of the platform's store as of platform/wire.h: objects by kind and name, one counter of
/// revisions, listings and watches. Runs on one event loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/http/server.h"

namespace cypresswall::testing {

/// All calls must be made on the thread of the event loop.
class ObjectsStoreStandin {
 public:
  /// \param address "IP:port"
  ObjectsStoreStandin(asio::io_context& context, const std::string& address);

  /// Creates the object, or replaces its spec if that differs.
  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void erase(const std::string& kind, const std::string& name);
  /// While the store is down it closes each connection without an answer. It loses nothing.
  void setDown(bool down);

 private:
  using ResponderPointer = std::shared_ptr<http::Responder>;
  using Key = std::pair<std::string, std::string>;

  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool gone = false;
  };
  struct Watch {
    Watch(asio::io_context& context, ResponderPointer answered, std::string watched,
          std::uint64_t position)
        : responder(std::move(answered)),
          kind(std::move(watched)),
          since(position),
          timer(context) {}

    ResponderPointer responder;
    std::string kind;
    std::uint64_t since;
    asio::steady_timer timer;
  };

  void handle(const http::Request& request, const ResponderPointer& responder);
  void list(const std::string& kind, const http::Request& request,
            const ResponderPointer& responder) const;
  void watch(const std::string& kind, const http::Request& request,
             const ResponderPointer& responder);
  void answerWatches();
  void change(const Key& key, const http::Request& request, const ResponderPointer& responder);
  void commit(const Key& key, nlohmann::json object, bool gone);
  nlohmann::json changesSince(const std::string& kind, std::uint64_t revision) const;

  asio::io_context& context_;
  bool down_ = false;
  std::uint64_t revision_ = 1;
  std::map<Key, nlohmann::json> objects_;
  std::vector<Change> changes_;
  std::list<std::shared_ptr<Watch>> watches_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace cypresswall::testing
