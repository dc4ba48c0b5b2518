/// Stand-in for the metadata store of the users' platform. Objects put by the test are handed out
/// byte by byte as they were put, so that they can be nested deeply, hold numbers out of range, or
/// be no JSON at all.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/http/server.h"

namespace cypresswall::objects_platform::testing {

/// How the store treats calls.
enum class StoreCondition { kHealthy, kSilent, kClosesConnections, kUnavailable };

/// Belongs to the thread of its StandinLoop.
class StoreStandin {
 public:
  explicit StoreStandin(common::Scheduler& scheduler) : scheduler_(scheduler) {}

  void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  /// \param spec bytes of the object's spec; any bytes are possible
  void put(const std::string& kind, const std::string& name, const std::string& spec);
  /// \param object bytes of the whole object
  void putWhole(const std::string& kind, const std::string& name, const std::string& object);
  void remove(const std::string& kind, const std::string& name);
  /// \return the names of all objects of a kind
  std::vector<std::string> names(const std::string& kind) const;
  /// Applies to further calls, and ends the watches that wait.
  void setCondition(StoreCondition condition);

 private:
  using Responder = std::shared_ptr<http::Responder>;
  using Key = std::pair<std::string, std::string>;
  struct Object {
    std::uint64_t revision = 0;
    std::string text;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string event;
  };
  struct Watch {
    std::uint64_t number = 0;
    std::string kind;
    std::uint64_t since = 0;
    Responder responder;
  };

  void answer(const http::Request& request, const Responder& responder);
  void list(const std::string& kind, const http::Request& request, const Responder& responder);
  void startWatch(const std::string& kind, const http::Request& request,
                  const Responder& responder);
  void write(const http::Request& request, Key key, const Responder& responder);
  void respondObject(const Responder& responder, int status, const Key& key) const;
  bool answerWatch(const Watch& watch, bool due) const;
  void endWatch(std::uint64_t number);
  void record(const Key& key, const std::string& text, bool gone);

  common::Scheduler& scheduler_;
  StoreCondition condition_ = StoreCondition::kHealthy;
  std::uint64_t revision_ = 1;
  std::uint64_t watches_begun_ = 0;
  std::map<Key, Object> objects_;
  std::vector<Change> changes_;
  std::list<Watch> watches_;
  /// Calls that get no answer.
  std::vector<Responder> unanswered_;
};

}  // namespace cypresswall::objects_platform::testing
