/// Integration of RapidCheck with CppUnit: a falsified property fails the enclosing CppUnit test.
#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestParams.h>

#include <cstdlib>
#include <sstream>
#include <string>
#include <utility>

namespace cypresswall::testing {

/// Fixed seed of all properties, so that every run gives the same result.
inline constexpr std::uint64_t kPropertySeed = 20261202;

/// If set, counterexamples are reported without shrinking, which takes long.
inline constexpr const char* kNoShrinkVariable = "CYPRESSWALL_NO_SHRINK";

/// Checks `property` for `runs` generated cases from the fixed seed and fails the CppUnit test,
/// with the shrunk counterexample, when it does not hold.
/// \param name printed with the counterexample
/// \param runs number of generated cases
/// \param property a callable accepted by rc::check
template <typename Property>
void requireProperty(const std::string& name, int runs, Property&& property) {
  rc::detail::TestParams params;
  params.seed = kPropertySeed;
  params.maxSuccess = runs;
  params.disableShrinking = std::getenv(kNoShrinkVariable) != nullptr;
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  const auto result = rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
  if (!result.template is<rc::detail::SuccessResult>()) {
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    CPPUNIT_FAIL(name + ": " + message.str());
  }
}

}  // namespace cypresswall::testing
