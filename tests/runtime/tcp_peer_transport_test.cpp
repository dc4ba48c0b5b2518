#include "cypresswall/runtime/tcp_peer_transport.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <string>
#include <vector>

#include "cypresswall/runtime/message_frame.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::runtime {
namespace {

struct Note {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 99);
  std::string text;
  MSGPACK_DEFINE(text)
};

class LineSink final : public common::LogSink {
 public:
  bool enabled(common::LogLevel level) const override { return level >= common::LogLevel::kInfo; }
  void write(common::LogLevel, const std::string& line) override { lines.push_back(line); }
  std::vector<std::string> lines;
};

/// Transport of one daemon.
struct Node {
  Node(asio::io_context& context, std::uint64_t incarnation,
       const common::Address& address = "127.0.0.1:0")
      : transport(context, settingsFor(address), random, log, counters) {
    id = common::NodeId{transport.listen(), incarnation};
    dispatcher.handle<Note>([this](const common::NodeId& sender, const Note& note) {
      senders.push_back(sender);
      notes.push_back(note.text);
    });
    transport.start(id, dispatcher);
  }
  static TransportSettings settingsFor(const common::Address& address) {
    TransportSettings settings;
    settings.listen_address = address;
    settings.maximum_queued_messages = 8;
    settings.minimum_backoff = std::chrono::milliseconds(5);
    settings.maximum_backoff = std::chrono::milliseconds(20);
    settings.first_connect_limit = std::chrono::milliseconds(50);
    return settings;
  }
  void send(const common::NodeId& to, const std::string& text) {
    transport.send(api::Envelope::make(id, to, Note{text}));
  }
  double dropped() const { return counters.total("cypresswall_transport_dropped_messages_total"); }

  common::SeededRandom random{1};
  LineSink log;
  common::CounterRegistry counters;
  api::MessageDispatcher dispatcher;
  TcpPeerTransport transport;
  common::NodeId id;
  std::vector<common::NodeId> senders;
  std::vector<std::string> notes;
};

class TcpPeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TcpPeerTransportTest);
  CPPUNIT_TEST(deliversInOrderBothWays);
  CPPUNIT_TEST(deliversToItself);
  CPPUNIT_TEST(dropsMessagesForAnotherIncarnation);
  CPPUNIT_TEST(reconnectsToARestartedPeer);
  CPPUNIT_TEST(boundsTheQueueOfAnUnreachablePeer);
  CPPUNIT_TEST(repeatsUnansweredAttemptsSooner);
  CPPUNIT_TEST(closesOnInvalidDataWithOneLogLine);
  CPPUNIT_TEST(closesOnAnotherProtocolVersion);
  CPPUNIT_TEST(refusesAPortInUse);
  CPPUNIT_TEST(faultSwitchCutsOnlyInTestBuilds);
  CPPUNIT_TEST(framesSurviveAnySplit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void deliversInOrderBothWays() {
    Node left(context_, 1);
    Node right(context_, 2);
    const std::string large(300000, 'x');
    left.send(right.id, "one");
    left.send(right.id, large);
    left.send(right.id, "three");
    right.send(left.id, "back");
    CPPUNIT_ASSERT(testing::runUntil(
        context_, [&] { return right.notes.size() == 3 && left.notes.size() == 1; }));
    CPPUNIT_ASSERT(right.notes == (std::vector<std::string>{"one", large, "three"}));
    CPPUNIT_ASSERT(left.id == right.senders[0]);
    CPPUNIT_ASSERT_EQUAL(1.0, left.counters.total("cypresswall_transport_connects_total"));
    CPPUNIT_ASSERT_EQUAL(left.counters.total("cypresswall_transport_sent_bytes_total"),
                         left.counters.total("cypresswall_transport_queued_bytes_total"));
  }

  void deliversToItself() {
    Node node(context_, 1);
    node.send(node.id, "self");
    CPPUNIT_ASSERT(node.notes.empty());
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return node.notes.size() == 1; }));
  }

  void dropsMessagesForAnotherIncarnation() {
    Node left(context_, 1);
    Node right(context_, 2);
    left.send({right.id.address, 7}, "old");
    left.send({right.id.address, 0}, "any");
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return right.notes.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("any"), right.notes[0]);
    CPPUNIT_ASSERT_EQUAL(1.0, right.dropped());
  }

  void reconnectsToARestartedPeer() {
    Node left(context_, 1);
    auto right = std::make_unique<Node>(context_, 2);
    const common::Address address = right->id.address;
    left.send({address, 0}, "first");
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return right->notes.size() == 1; }));
    right.reset();
    // The first of these messages may still be written to the old connection and be lost.
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] {
      left.send({address, 0}, "lost");
      return left.counters.total("cypresswall_transport_failed_connects_total") > 0;
    }));
    right = std::make_unique<Node>(context_, 3, address);
    left.send({address, 0}, "again");
    CPPUNIT_ASSERT(testing::runUntil(
        context_, [&] { return !right->notes.empty() && right->notes.back() == "again"; }));
  }

  void boundsTheQueueOfAnUnreachablePeer() {
    Node left(context_, 1);
    asio::ip::tcp::acceptor unused(context_, {asio::ip::make_address("127.0.0.1"), 0});
    const auto port = unused.local_endpoint().port();
    unused.close();
    for (int i = 0; i < 100; ++i) {
      left.send({"127.0.0.1:" + std::to_string(port), 0}, "note");
    }
    CPPUNIT_ASSERT_EQUAL(92.0, left.dropped());
  }

  /// Load: all machines of a zone get power at the same moment, and the first ones to start connect
  /// to peers whose machines don't answer yet.
  void repeatsUnansweredAttemptsSooner() {
    Node left(context_, 1);
    // The kernel ignores SYNs while the queue of connections that wait to be accepted is full.
    asio::ip::tcp::acceptor silent(context_, asio::ip::tcp::v4());
    silent.bind({asio::ip::make_address("127.0.0.1"), 0});
    silent.listen(0);
    std::vector<asio::ip::tcp::socket> waiting;
    for (int i = 0; i < 4; ++i) {
      waiting.emplace_back(context_);
      waiting.back().async_connect(silent.local_endpoint(), [](const std::error_code&) {});
    }
    const auto begin = std::chrono::steady_clock::now();
    left.send({"127.0.0.1:" + std::to_string(silent.local_endpoint().port()), 0}, "note");
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] {
      return left.counters.total("cypresswall_transport_failed_connects_total") >= 3;
    }));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin <
                   2 * TransportSettings{}.connect_time_limit);
  }

  void closesOnInvalidDataWithOneLogLine() {
    Node node(context_, 1);
    expectClosed(node, "GET / HTTP/1.1\r\n\r\n");
    expectClosed(node, encodeFrame("\xc1 no msgpack"));
  }

  void closesOnAnotherProtocolVersion() {
    Node node(context_, 1);
    std::string payload = api::encodeEnvelope(api::Envelope::make(node.id, node.id, Note{"x"}));
    // The second byte is the version, a small msgpack integer.
    payload[1] = static_cast<char>(api::kProtocolVersion + 1);
    expectClosed(node, encodeFrame(payload));
    CPPUNIT_ASSERT(node.notes.empty());
  }

  void refusesAPortInUse() {
    Node node(context_, 1);
    CPPUNIT_ASSERT_THROW(Node(context_, 2, node.id.address), TransportError);
  }

  void faultSwitchCutsOnlyInTestBuilds() {
    Node left(context_, 1);
    Node right(context_, 2);
    left.transport.faultSwitch().set({{right.id.address}, {}});
    left.send(right.id, "cut on its way out");
    left.transport.faultSwitch().set({});
    right.transport.faultSwitch().set({{}, {left.id.address}});
    left.send(right.id, "cut on its way in");
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] {
      return right.counters.total("cypresswall_transport_received_messages_total") > 0;
    }));
    right.transport.faultSwitch().set({});
    left.send(right.id, "whole");
    CPPUNIT_ASSERT(testing::runUntil(
        context_, [&] { return !right.notes.empty() && right.notes.back() == "whole"; }));
    const std::size_t expected = kFaultSwitchesCompiled ? 1 : 3;
    CPPUNIT_ASSERT_EQUAL(expected, right.notes.size());
    CPPUNIT_ASSERT_EQUAL(kFaultSwitchesCompiled ? 1.0 : 0.0, left.dropped());
  }

  void framesSurviveAnySplit() {
    testing::requireProperty(
        "frames are reassembled in order however the bytes are split", 200,
        [](const std::vector<std::string>& payloads, const std::vector<std::uint8_t>& cuts) {
          std::string bytes;
          std::vector<std::string> expected;
          for (const std::string& payload : payloads) {
            if (!payload.empty()) {
              expected.push_back(payload);
              bytes += encodeFrame(payload);
            }
          }
          FrameReader reader(1U << 20);
          std::vector<std::string> received;
          std::size_t position = 0;
          std::size_t turn = 0;
          while (position < bytes.size()) {
            const std::size_t step = cuts.empty() ? 1 : 1 + cuts[turn++ % cuts.size()];
            reader.feed(std::string_view(bytes).substr(position, step),
                        [&](std::string_view frame) { received.emplace_back(frame); });
            position += step;
          }
          RC_ASSERT(received == expected);
        });
  }

 private:
  void expectClosed(Node& node, const std::string& bytes) {
    const std::size_t lines_before = node.log.lines.size();
    asio::ip::tcp::socket socket(context_);
    const auto colon = node.id.address.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(node.id.address.substr(colon + 1)));
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(bytes));
    char byte = 0;
    bool closed = false;
    socket.async_read_some(asio::buffer(&byte, 1), [&](const std::error_code& error, std::size_t) {
      closed = static_cast<bool>(error);
    });
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return closed; }));
    CPPUNIT_ASSERT_EQUAL(lines_before + 1, node.log.lines.size());
  }

  asio::io_context context_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TcpPeerTransportTest);

}  // namespace
}  // namespace cypresswall::runtime
