/// Responses of the platform that end early, at the clients' own interfaces.
#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "cypresswall/object_store/http_machine_list.h"
#include "cypresswall/object_store/http_object_store.h"
#include "tests/support/cut_response.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::object_store {
namespace {

using testing::CutResponse;
using testing::httpAnswer;
using testing::runUntil;

constexpr const char* kObject =
    R"({"key": "a/b", "version": 3, "value": "v", "change_id": "c", "revision": 9})";
constexpr const char* kListing = R"({"revision": 9, "objects": []})";

class CutResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutResponseTest);
  CPPUNIT_TEST(cutReadsFail);
  CPPUNIT_TEST(cutWritesHaveAnUnknownOutcome);
  CPPUNIT_TEST(cutMachineListsFail);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a part of a listing that is taken for all there is, and against objects that
  /// are taken for missing because the answer was cut.
  void cutReadsFail() {
    const auto get = [this](auto callback) { store_.get("a/b", callback); };
    const auto list = [this](auto callback) { store_.list("a/", callback); };
    const auto watch = [this](auto callback) { store_.watch("a/", 9, callback); };
    requireFailure(httpAnswer(200, kObject), StoreFailure::kUnavailable, get);
    requireFailure(httpAnswer(404, "{}"), StoreFailure::kUnavailable, get);
    requireFailure(httpAnswer(200, kListing), StoreFailure::kUnavailable, list);
    requireFailure(httpAnswer(200, kListing), StoreFailure::kUnavailable, watch);
    requireFailure(httpAnswer(410, "{}"), StoreFailure::kUnavailable, watch);
  }

  /// Guards against writes that are believed made, or believed refused, on the word of a part of
  /// the answer.
  void cutWritesHaveAnUnknownOutcome() {
    const auto write = [this](auto callback) {
      store_.compareAndSet({"a/b", 2, "v", "c"}, callback);
    };
    for (const int status : {200, 409, 503}) {
      requireFailure(httpAnswer(status, kObject), StoreFailure::kUnknownOutcome, write);
    }
  }

  void cutMachineListsFail() {
    HttpMachineListSettings settings;
    settings.address = server_.address();
    HttpMachineList machines(curl_, settings);
    const std::string response = httpAnswer(200, R"({"machines": []})");
    const auto fetches = [&] {
      std::optional<bool> ok;
      machines.fetch("z", [&](const auto& result) { ok = result.ok(); });
      CPPUNIT_ASSERT(runUntil(context_, [&] { return ok.has_value(); }));
      return *ok;
    };
    forEachCut(server_, response, [&](const CutResponse& cut) {
      CPPUNIT_ASSERT_MESSAGE(cut.description, !fetches());
    });
    server_.answer(response, true);
    CPPUNIT_ASSERT(fetches());
  }

 private:
  template <typename Call>
  void requireFailure(const std::string& response, StoreFailure failure, Call call) {
    forEachCut(server_, response, [&](const CutResponse& cut) {
      std::optional<StoreFailure> given;
      bool done = false;
      call([&](const auto& result) {
        done = true;
        given = result.ok() ? std::nullopt : std::optional(result.failure().kind);
      });
      CPPUNIT_ASSERT(runUntil(context_, [&] { return done; }));
      CPPUNIT_ASSERT_MESSAGE(cut.description, given == failure);
    });
  }

  HttpObjectStoreSettings settings() const {
    HttpObjectStoreSettings made;
    made.address = server_.address();
    return made;
  }

  asio::io_context context_;
  testing::ScriptedServer server_{context_};
  common::CounterRegistry counters_;
  runtime::CurlMulti curl_{context_};
  HttpObjectStore store_{curl_, counters_, settings()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutResponseTest);

}  // namespace
}  // namespace cypresswall::object_store
