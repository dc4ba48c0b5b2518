#include "cypresswall/common/bounded_unpack.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include <string>
#include <vector>

namespace cypresswall::common {
namespace {

std::string nestedLists(std::size_t depth) { return std::string(depth, '\x91') + '\xc0'; }

/// \return an array of nils
std::string list(std::uint32_t size) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(size);
  for (std::uint32_t item = 0; item < size; ++item) {
    packer.pack_nil();
  }
  return {buffer.data(), buffer.size()};
}

/// \return the largest amount of memory that the process has used so far, in KB
long peakMemory() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

class BoundedUnpackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedUnpackTest);
  CPPUNIT_TEST(readsValues);
  CPPUNIT_TEST(depthIsBounded);
  CPPUNIT_TEST(numberOfValuesIsBounded);
  CPPUNIT_TEST(nestedLengthsClaimNoMemory);
  CPPUNIT_TEST(cutAndMalformedBytesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readsValues() {
    msgpack::sbuffer buffer;
    const std::vector<std::string> texts = {"a", std::string(70000, 'b'), ""};
    msgpack::pack(buffer, texts);
    const std::string bytes(buffer.data(), buffer.size());
    CPPUNIT_ASSERT(texts == unpackBounded(bytes).get().as<std::vector<std::string>>());
  }

  // Guards against: bytes of which each opens a list fill the memory, or the stack of what walks
  // through the value.
  void depthIsBounded() {
    CPPUNIT_ASSERT_NO_THROW(unpackBounded(nestedLists(kMaximumMsgpackDepth)));
    CPPUNIT_ASSERT_THROW(unpackBounded(nestedLists(kMaximumMsgpackDepth + 1)), MsgpackError);
    CPPUNIT_ASSERT_THROW(unpackBounded(nestedLists(std::size_t{4} << 20)), MsgpackError);
  }

  // Guards against: a short message takes many times its size in memory.
  void numberOfValuesIsBounded() {
    CPPUNIT_ASSERT_NO_THROW(unpackBounded(list(kMaximumMsgpackValues)));
    CPPUNIT_ASSERT_THROW(unpackBounded(list(kMaximumMsgpackValues + 1)), MsgpackError);
  }

  // Guards against: lists within each other, each of which claims as many values as bytes follow,
  // claim memory for the square of the bytes.
  void nestedLengthsClaimNoMemory() {
    constexpr std::size_t kClaims = 1U << 18;
    constexpr long kMostKilobytes = 32L << 10;
    std::string bytes;
    for (std::size_t claim = 0; claim < kClaims; ++claim) {
      bytes += std::string("\xdd\x00\x0f\xff\xff", 5);
    }
    const long before = peakMemory();
    CPPUNIT_ASSERT_THROW(unpackBounded(bytes), MsgpackError);
    CPPUNIT_ASSERT(peakMemory() - before < kMostKilobytes);
  }

  void cutAndMalformedBytesAreRefused() {
    for (const std::string& bytes :
         {std::string(), std::string("\xdd\xff\xff\xff\xff"), std::string("\xdb\xff\xff\xff\xff"),
          std::string("\x92\xc0"), std::string("\xc1"), std::string("\xdf\x80\x00\x00\x00", 5)}) {
      CPPUNIT_ASSERT_THROW(unpackBounded(bytes), MsgpackError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedUnpackTest);

}  // namespace
}  // namespace cypresswall::common
