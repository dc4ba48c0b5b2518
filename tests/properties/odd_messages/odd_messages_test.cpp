/// No message of another node ends a process: examples of all messages that the nodes of a working
/// fleet send each other, each with one value replaced by an odd one, are given to a node.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <limits>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "tests/properties/support/bookings.h"
#include "tests/properties/support/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using std::chrono::seconds;
using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::uint64_t kSeed = 83;
/// Examples kept of each message type: the first ones and the longest one.
constexpr std::size_t kExamples = 3;
/// Mutations of each example, spread over its values.
constexpr std::size_t kMutations = 120;

/// Values that no message has.
enum class Odd : std::uint8_t {
  kNil,
  kTrue,
  kNegative,
  kLowest,
  kLargest,
  kBeyondDouble,
  kFraction,
  kHugeNumber,
  kInfinity,
  kNoNumber,
  kEmptyText,
  kInvalidText,
  kLongText,
  kEmptyList,
  kLongList,
  kDeepList,
  kMap,
  kCount,
};

void packOdd(Packer& packer, Odd odd) {
  constexpr std::uint32_t kLongListItems = 100'000;
  constexpr int kDeepListDepth = 100'000;
  switch (odd) {
    case Odd::kTrue:
      packer.pack_true();
      return;
    case Odd::kNegative:
      packer.pack_int64(-1);
      return;
    case Odd::kLowest:
      packer.pack_int64(std::numeric_limits<std::int64_t>::min());
      return;
    case Odd::kLargest:
      packer.pack_uint64(std::numeric_limits<std::uint64_t>::max());
      return;
    case Odd::kBeyondDouble:
      packer.pack_uint64((std::uint64_t{1} << 53U) + 1);
      return;
    case Odd::kFraction:
      packer.pack_double(0.5);
      return;
    case Odd::kHugeNumber:
      packer.pack_double(1e300);
      return;
    case Odd::kInfinity:
      packer.pack_double(std::numeric_limits<double>::infinity());
      return;
    case Odd::kNoNumber:
      packer.pack_double(std::numeric_limits<double>::quiet_NaN());
      return;
    case Odd::kEmptyText:
      packer.pack(std::string());
      return;
    case Odd::kInvalidText:
      packer.pack(std::string("\xff\0\n=\"", 5));
      return;
    case Odd::kLongText:
      packer.pack(std::string(std::size_t{1} << 20, 'x'));
      return;
    case Odd::kEmptyList:
      packer.pack_array(0);
      return;
    case Odd::kLongList:
      packer.pack_array(kLongListItems);
      for (std::uint32_t item = 0; item < kLongListItems; ++item) {
        packer.pack_array(0);
      }
      return;
    case Odd::kDeepList:
      for (int depth = 0; depth < kDeepListDepth; ++depth) {
        packer.pack_array(1);
      }
      packer.pack_nil();
      return;
    case Odd::kMap:
      packer.pack_map(1);
      packer.pack(std::string("key"));
      packer.pack_nil();
      return;
    case Odd::kNil:
    case Odd::kCount:
      packer.pack_nil();
      return;
  }
}

/// Packs a value again, with the value at one position replaced.
class Mutator {
 public:
  Mutator(std::size_t position, Odd odd) : position_(position), odd_(odd) {}

  std::string mutated(const msgpack::object& value) {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    pack(packer, value);
    return {buffer.data(), buffer.size()};
  }
  /// \return number of values found, after mutated()
  std::size_t values() const { return next_; }

 private:
  void pack(Packer& packer, const msgpack::object& value) {
    if (next_++ == position_) {
      packOdd(packer, odd_);
      return;
    }
    if (value.type == msgpack::type::ARRAY) {
      packer.pack_array(value.via.array.size);
      for (std::uint32_t item = 0; item < value.via.array.size; ++item) {
        pack(packer, value.via.array.ptr[item]);
      }
    } else if (value.type == msgpack::type::MAP) {
      packer.pack_map(value.via.map.size);
      for (std::uint32_t item = 0; item < value.via.map.size; ++item) {
        pack(packer, value.via.map.ptr[item].key);
        pack(packer, value.via.map.ptr[item].val);
      }
    } else {
      packer.pack(value);
    }
  }

  std::size_t position_;
  Odd odd_;
  std::size_t next_ = 0;
};

std::size_t countValues(const std::string& body) {
  Mutator counting(std::numeric_limits<std::size_t>::max(), Odd::kNil);
  counting.mutated(msgpack::unpack(body.data(), body.size()).get());
  return counting.values();
}

class OddMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddMessagesTest);
  CPPUNIT_TEST(noMessageWithAnOddValueEndsAProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against: one message with a value that no node sends ends the node that receives it.
  void noMessageWithAnOddValueEndsAProcess() {
    simulation::FleetSettings settings;
    settings.topology = {2, 3, 2, 1};
    simulation::SimulatedFleet fleet(kSeed, settings);
    std::map<std::uint16_t, std::vector<api::Envelope>> examples;
    fleet.simulation().network().onSend(
        [&](const api::Envelope& envelope) { keepExample(envelope, examples); });
    fleet.bringUp();
    BookingWorkload bookings;
    planBookings(fleet, bookings);
    planRequests(fleet, {});
    fleet.killNode(1);
    fleet.time().runFor(seconds(20));
    fleet.startNode(1);
    fleet.time().runFor(seconds(20));
    fleet.simulation().network().onSend(nullptr);
    CPPUNIT_ASSERT(examples.size() >= 20);

    std::size_t given = 0;
    std::size_t refused = 0;
    for (const auto& [type, envelopes] : examples) {
      for (const api::Envelope& envelope : envelopes) {
        give(fleet, envelope, given, refused);
      }
    }
    std::cout << "\n"
              << examples.size() << " kinds of messages, " << given << " given, " << refused
              << " refused" << std::endl;
    CPPUNIT_ASSERT(refused > 0);
    CPPUNIT_ASSERT(refused < given);
  }

 private:
  static void keepExample(const api::Envelope& envelope,
                          std::map<std::uint16_t, std::vector<api::Envelope>>& examples) {
    auto& kept = examples[static_cast<std::uint16_t>(envelope.type)];
    if (kept.size() < kExamples) {
      kept.push_back(envelope);
    } else if (envelope.body.size() > kept.back().body.size()) {
      kept.back() = envelope;
    }
  }

  /// Gives a node mutations of one message, and lets it act on each.
  static void give(simulation::SimulatedFleet& fleet, const api::Envelope& example,
                   std::size_t& given, std::size_t& refused) {
    const std::size_t values = countValues(example.body);
    const auto handle = msgpack::unpack(example.body.data(), example.body.size());
    common::RandomSource& random = fleet.simulation().random();
    for (std::size_t mutation = 0; mutation < kMutations; ++mutation) {
      const auto odd = static_cast<Odd>(random.below(static_cast<std::uint64_t>(Odd::kCount)));
      api::Envelope message = example;
      message.body = Mutator(random.below(values), odd).mutated(handle.get());
      simulation::SimulatedProcess& process = *fleet.slot(0).process;
      process.deliver([&] {
        ++given;
        try {
          process.context().dispatcher.dispatch(message);
        } catch (const std::exception&) {
          ++refused;
        }
      });
      fleet.time().runFor(std::chrono::milliseconds(1));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddMessagesTest);

}  // namespace
}  // namespace cypresswall::testing
