/// Guards against an adapter that crashes when the platform's store begins a new incarnation. Uses
/// real connections to a scripted server.
#include "platform/objects_platform_adapter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <memory>
#include <string>

#include "cypresswall/node/node.h"
#include "cypresswall/runtime/asio_clock.h"
#include "cypresswall/runtime/asio_scheduler.h"
#include "cypresswall/runtime/tcp_server_connections.h"
#include "tests/support/event_loop.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::objects_platform {
namespace {

class NullTransport final : public api::PeerTransport {
 public:
  void send(api::Envelope) override {}
};

class ObjectsPlatformAdapterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectsPlatformAdapterTest);
  CPPUNIT_TEST(followsIncarnationsOfTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void followsIncarnationsOfTheStore() {
    settings_.object_store.address = server_.address();
    const auto adapter = makeObjectsPlatformAdapter({settings_, context(), curl_, connections_});
    object_store::ObjectStore& store = adapter->clients().object_store;
    for (const int incarnation : {1, 1, 2, 3}) {
      CPPUNIT_ASSERT(read(store, incarnation) == object_store::StoreFailure::kNotFound);
      CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(incarnation), store.incarnation());
    }
    CPPUNIT_ASSERT(read(store, 2) == object_store::StoreFailure::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, store.incarnation());
  }

 private:
  object_store::StoreFailure read(object_store::ObjectStore& store, int incarnation) {
    server_.answer(
        testing::httpAnswer(404, "{}", "Store-Era: " + std::to_string(incarnation) + "\r\n"), true);
    std::optional<object_store::StoreFailure> failure;
    store.get("key", [&failure](const auto& result) { failure = result.failure().kind; });
    CPPUNIT_ASSERT(testing::runUntil(io_, [&failure] { return failure.has_value(); }));
    return *failure;
  }
  api::ProcessContext context() {
    return {common::NodeId{"127.0.0.1:1", 7},
            "z",
            clock_,
            scheduler_,
            random_,
            common::nullLogSink(),
            counters_,
            transport_,
            dispatcher_};
  }

  asio::io_context io_;
  runtime::AsioClock clock_;
  runtime::AsioScheduler scheduler_{io_};
  runtime::CurlMulti curl_{io_};
  runtime::TcpServerConnections connections_{io_, common::nullLogSink(), std::chrono::seconds(1)};
  testing::ScriptedServer server_{io_};
  settings::DaemonSettings settings_;
  common::SeededRandom random_{1};
  common::CounterRegistry counters_;
  NullTransport transport_;
  api::MessageDispatcher dispatcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectsPlatformAdapterTest);

}  // namespace
}  // namespace cypresswall::objects_platform
