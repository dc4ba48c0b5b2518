/// Messages between nodes whose connection ends early.
#include "cypresswall/runtime/message_frame.h"

#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "tests/support/property.h"

namespace cypresswall::runtime {
namespace {

class MessageFrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageFrameTest);
  CPPUNIT_TEST(onlyWholeFramesAreDelivered);
  CPPUNIT_TEST(cutEnvelopesAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a message that is handled though its end is missing.
  void onlyWholeFramesAreDelivered() {
    const std::string first = encodeFrame("first");
    const std::string bytes = first + encodeFrame("second");
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      std::vector<std::string> delivered;
      FrameReader reader(100);
      const auto keep = [&](std::string_view frame) { delivered.emplace_back(frame); };
      reader.feed(bytes.substr(0, cut), keep);
      const std::size_t whole = (cut >= first.size() ? 1U : 0U) + (cut == bytes.size() ? 1U : 0U);
      CPPUNIT_ASSERT_EQUAL(whole, delivered.size());
      reader.feed(bytes.substr(cut), keep);
      CPPUNIT_ASSERT(delivered == (std::vector<std::string>{"first", "second"}));
    }
  }

  void cutEnvelopesAreRejected() {
    api::Envelope envelope;
    envelope.sender = {"10.0.0.1:1", 1};
    envelope.receiver = {"10.0.0.2:1", 2};
    envelope.body = "body";
    const std::string bytes = api::encodeEnvelope(envelope);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
      CPPUNIT_ASSERT_THROW(api::decodeEnvelope(bytes.data(), cut), api::MessageError);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("body"), api::decodeEnvelope(bytes.data(), bytes.size()).body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageFrameTest);

}  // namespace
}  // namespace cypresswall::runtime
