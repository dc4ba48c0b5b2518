#include "cypresswall/simulation/fleet/fleet_topology.h"

#include <sstream>

#include "cypresswall/configuration/fleet_file.h"

namespace cypresswall::simulation {
namespace {

/// \return the "IP:port" of a machine. The last three octets of the IP address are the machine's
///   kind, zone and number.
std::string addressOf(std::uint32_t kind, std::uint32_t zone, std::uint32_t number,
                      std::uint32_t port) {
  std::ostringstream address;
  address << "10." << kind << '.' << zone + 1 << '.' << number + 1 << ':' << port;
  return address.str();
}

std::string nameOf(const char* kind, std::uint32_t zone, std::uint32_t number) {
  return zoneName(zone) + "-" + kind + "-" + std::to_string(number + 1);
}

constexpr std::uint32_t kNodeKind = 1;
constexpr std::uint32_t kEngineKind = 2;
constexpr std::uint32_t kBackendKind = 3;
constexpr std::uint32_t kNodePort = 7000;
constexpr std::uint32_t kEnginePort = 8001;
constexpr std::uint32_t kBackendPort = 8100;
/// Maximum number of nodes in a zone. Each generation of replaced nodes uses the next range of this
/// many addresses.
constexpr std::uint32_t kAddressesPerGeneration = 20;

void writeZones(std::ostream& file, const FleetTopology& topology) {
  file << "zones:\n";
  for (std::uint32_t zone = 0; zone < topology.zones; ++zone) {
    file << "  - {name: " << zoneName(zone) << ", region: region-1}\n";
  }
}

void writeEngines(std::ostream& file, const FleetTopology& topology) {
  file << "engines:\n";
  for (std::uint32_t zone = 0; zone < topology.zones; ++zone) {
    for (std::uint32_t engine = 0; engine < topology.engines_per_zone; ++engine) {
      file << "  - {name: " << engineName(zone, engine) << ", zone: " << zoneName(zone)
           << ", machine: " << engineMachine(zone, engine) << ", address: '"
           << engineAddress(zone, engine) << "', model: " << kModelName << "}\n";
    }
  }
}

void writeServices(std::ostream& file, const FleetTopology& topology) {
  file << "model_services:\n  - {name: " << kModelServiceName << ", model: " << kModelName
       << ", urgency: high, first_token_limit: 3s, between_tokens_limit: 200ms, "
          "maximum_tokens: 400}\n";
  file << "http_services:\n  - name: " << kHttpServiceName << "\n    backends:\n";
  for (std::uint32_t zone = 0; zone < topology.zones; ++zone) {
    for (std::uint32_t backend = 0; backend < topology.backends_per_zone; ++backend) {
      file << "      - {zone: " << zoneName(zone) << ", machine: " << backendMachine(zone, backend)
           << ", address: '" << backendAddress(zone, backend) << "'}\n";
    }
  }
  file << "    operations:\n"
       << "      - {method: GET, path_prefix: " << kRepeatablePath
       << ", repeatable: true, time_limit: 1s}\n"
       << "      - {method: POST, path_prefix: " << kOncePath
       << ", repeatable: false, time_limit: 2s}\n";
}

}  // namespace

common::ZoneName zoneName(std::uint32_t zone) { return "zone-" + std::to_string(zone + 1); }

common::Address nodeAddress(std::uint32_t zone, std::uint32_t node, std::uint32_t generation) {
  return addressOf(kNodeKind, zone, generation * kAddressesPerGeneration + node, kNodePort);
}

common::MachineName nodeMachine(std::uint32_t zone, std::uint32_t node, std::uint32_t generation) {
  return nameOf("node", zone, generation * kAddressesPerGeneration + node);
}

common::EngineName engineName(std::uint32_t zone, std::uint32_t engine) {
  return nameOf("runner", zone, engine);
}

common::Address engineAddress(std::uint32_t zone, std::uint32_t engine) {
  return addressOf(kEngineKind, zone, engine, kEnginePort);
}

common::MachineName engineMachine(std::uint32_t zone, std::uint32_t engine) {
  return nameOf("accelerator", zone, engine);
}

common::Address backendAddress(std::uint32_t zone, std::uint32_t backend) {
  return addressOf(kBackendKind, zone, backend, kBackendPort);
}

common::MachineName backendMachine(std::uint32_t zone, std::uint32_t backend) {
  return nameOf("web", zone, backend);
}

std::string ipOf(const common::Address& address) { return address.substr(0, address.find(':')); }

std::vector<configuration::ObjectChange> declarations(const FleetTopology& topology) {
  std::ostringstream file;
  writeZones(file, topology);
  file << "models:\n  - {name: " << kModelName << ", version: \"" << kModelVersion
       << "\", weights_uri: 'weights://" << kModelName << "'}\n";
  writeEngines(file, topology);
  writeServices(file, topology);
  return configuration::differenceToFleetFile(file.str(), "generated", {});
}

}  // namespace cypresswall::simulation
