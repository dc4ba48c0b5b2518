/// Settings keys of the system's policies.
#pragma once

#include <vector>

#include "cypresswall/settings/setting_key.h"

namespace cypresswall::settings {

/// \return keys of role planning
std::vector<SettingKey> planningKeys();
/// \return keys of the learned output speed of engines
std::vector<SettingKey> engineSpeedKeys();
/// \return keys of the retry budget
std::vector<SettingKey> retryKeys();
/// \return keys of kept connections to engines and back ends
std::vector<SettingKey> connectionKeys();
/// \return keys of the division of scarce engines and back ends among tenants
std::vector<SettingKey> admissionKeys();
/// \return keys of the quarantine, which blocks requests that crash engines
std::vector<SettingKey> quarantineKeys();
/// \return keys of the checkpoint of what the nodes have learnt
std::vector<SettingKey> checkpointKeys();
/// \return keys of the duties that one node performs for the whole fleet
std::vector<SettingKey> dutyKeys();
/// \return keys of autoscaling
std::vector<SettingKey> autoscalingKeys();
/// \return keys of the execution of model requests
std::vector<SettingKey> executionKeys();
/// \return keys that switch off individual mechanisms against overload
std::vector<SettingKey> mechanismKeys();

}  // namespace cypresswall::settings
