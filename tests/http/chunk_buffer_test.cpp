#include "cypresswall/http/chunk_buffer.h"

#include <vector>

#include "tests/support/property.h"

namespace cypresswall::http {
namespace {

class ChunkBufferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChunkBufferTest);
  CPPUNIT_TEST(framesAppendedBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void framesAppendedBytes() {
    testing::requireProperty("frames", 500, [](const std::vector<std::string>& pieces) {
      ChunkBuffer buffer;
      for (int round = 0; round < 2; ++round) {
        std::string all;
        for (const auto& piece : pieces) {
          buffer.append(piece);
          all += piece;
        }
        RC_ASSERT(buffer.pendingBytes() == all.size());
        RC_ASSERT(buffer.payload() == all);
        RC_PRE(!all.empty());
        const std::string frame(buffer.frame());
        const auto line_end = frame.find("\r\n");
        RC_ASSERT(std::stoul(frame.substr(0, line_end), nullptr, 16) == all.size());
        RC_ASSERT(frame.substr(line_end) == "\r\n" + all + "\r\n");
        buffer.clear();
        RC_ASSERT(buffer.empty());
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChunkBufferTest);

}  // namespace
}  // namespace cypresswall::http
