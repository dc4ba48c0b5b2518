#include "cypresswall/checkpoint/checkpoint.h"

#include <string>

#include "cypresswall/checkpoint/base64.h"
#include "tests/support/property.h"

namespace cypresswall::checkpoint {
namespace {

using std::chrono::milliseconds;

Checkpoint example() {
  Checkpoint checkpoint;
  checkpoint.build = 5;
  checkpoint.zone = "hall-a";
  checkpoint.store_incarnation = 3;
  checkpoint.parts["demand"] = {std::string("\x00\xff\x7f", 3), milliseconds(1700)};
  checkpoint.parts["later-part"] = {"kept", milliseconds(1600)};
  return checkpoint;
}

class CheckpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckpointTest);
  CPPUNIT_TEST(decodesWhatWasEncoded);
  CPPUNIT_TEST(damagedTextIsRefused);
  CPPUNIT_TEST(otherSchemaHasNoParts);
  CPPUNIT_TEST(base64KeepsAnyBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void decodesWhatWasEncoded() {
    const Checkpoint decoded = decodeCheckpoint(encodeCheckpoint(example()));
    CPPUNIT_ASSERT_EQUAL(std::string("hall-a"), decoded.zone);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, decoded.store_incarnation);
    CPPUNIT_ASSERT_EQUAL(5U, decoded.build);
    CPPUNIT_ASSERT(decoded.parts == example().parts);
  }

  void damagedTextIsRefused() {
    const std::string text = encodeCheckpoint(example());
    for (std::size_t length = 0; length < text.size(); ++length) {
      CPPUNIT_ASSERT_THROW(decodeCheckpoint(text.substr(0, length)), CheckpointError);
    }
    for (const char* const other : {"[]", "null", "{\"schema\":\"1\"}",
                                    "{\"schema\":1,\"zone\":\"hall-a\",\"parts\":{\"p\":7}}",
                                    "{\"schema\":1,\"zone\":\"hall-a\",\"parts\":{\"p\":{\"bytes\":"
                                    "\"!\",\"saved_at_ms\":1}}}",
                                    "{\"schema\":1,\"zone\":\"hall-a\",\"parts\":{\"p\":{\"bytes\":"
                                    "\"\",\"saved_at_ms\":-1}}}"}) {
      CPPUNIT_ASSERT_THROW(decodeCheckpoint(other), CheckpointError);
    }
  }

  void otherSchemaHasNoParts() {
    Checkpoint checkpoint = example();
    checkpoint.schema = kSchemaVersion + 1;
    CPPUNIT_ASSERT(decodeCheckpoint(encodeCheckpoint(checkpoint)).parts.empty());
  }

  void base64KeepsAnyBytes() {
    testing::requireProperty("base64 keeps any bytes", 200, [](const std::string& bytes) {
      RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
    });
    CPPUNIT_ASSERT_EQUAL(std::string("Zm9vYg=="), encodeBase64("foob"));
    CPPUNIT_ASSERT(!decodeBase64("Zm9vY"));
    CPPUNIT_ASSERT(!decodeBase64("Zm9v\n==="));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckpointTest);

}  // namespace
}  // namespace cypresswall::checkpoint
