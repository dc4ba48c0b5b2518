/// cypresswalld: the daemon of cypresswall, identical on every machine.
#include <gflags/gflags.h>
#include <malloc.h>
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <utility>

#include "apps/cypresswalld/daemon.h"
#include "cypresswall/settings/key_table.h"
#include "cypresswall/settings/settings_documents.h"
#include "cypresswall/settings/settings_flags.h"
#include "cypresswall/settings/settings_loader.h"
#include "cypresswall/surroundings/http_platform_adapter.h"
#include "platform/objects_platform_adapter.h"

DEFINE_string(settings, "", "settings file (YAML); flags go over it");
DEFINE_bool(check_settings, false, "check the settings, print the verdict and exit");
DEFINE_bool(print_default_settings, false, "print a settings file with all defaults and exit");
DEFINE_bool(print_settings_table, false, "print the table of docs/settings.md and exit");

namespace GFLAGS_NAMESPACE {
/// Function that gflags calls to exit on an invalid command line. The public headers of gflags do
/// not declare this variable.
extern void (*gflags_exitfunc)(int);
}  // namespace GFLAGS_NAMESPACE

namespace {

using namespace cypresswall;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotListen = 3;
/// How long a start waits for an address that is in use: longer than an orderly stop of the process
/// before it.
constexpr std::chrono::seconds kAddressInUseLimit(10);
constexpr std::chrono::milliseconds kAddressInUseDelay(500);

settings::DaemonSettings loadSettings() {
  settings::SourceValues values;
  if (!FLAGS_settings.empty()) {
    values = settings::readSettingsFile(FLAGS_settings);
  }
  return settings::makeSettings(settings::merged(values, settings::settingFlagValues()));
}

void printSettingsTable() {
  for (const settings::SettingKey& key : settings::settingKeys()) {
    std::cout << settings::documentRow(key) << "\n";
  }
}

surroundings::PlatformAdapterFactory selectPlatformAdapter(const settings::DaemonSettings& loaded) {
  return loaded.platform_protocol == settings::PlatformProtocol::kObjects
             ? objects_platform::makeObjectsPlatformAdapter
             : surroundings::makeHttpPlatformAdapter;
}

/// Returns large buffers, such as the bodies of responses, to the system when they are freed. By
/// default glibc raises the threshold with the largest buffer that was freed, and the heap then
/// keeps the gaps of bodies that grew beside each other.
void returnLargeBuffers() {
  constexpr int kLargeBufferBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes);
}

/// Runs a daemon. Its addresses may be in use by the process before it, which is about to stop, or
/// by an outgoing connection of another process, so that it tries again for a limited time.
int runOnFreeAddresses(const settings::DaemonSettings& loaded) {
  const auto give_up_at = std::chrono::steady_clock::now() + kAddressInUseLimit;
  bool reported = false;
  const auto report = [&reported](const common::Error& error) {
    if (!std::exchange(reported, true)) {
      std::cerr << "cypresswalld: " << error.what() << "; trying for up to "
                << kAddressInUseLimit.count() << " s" << std::endl;
    }
  };
  while (true) {
    try {
      daemon::Daemon daemon(loaded, loadSettings, selectPlatformAdapter(loaded));
      return daemon.run();
    } catch (const runtime::AddressInUse& error) {
      report(error);
    } catch (const http::AddressInUse& error) {
      report(error);
    }
    if (std::chrono::steady_clock::now() >= give_up_at) {
      return kExitCannotListen;
    }
    std::this_thread::sleep_for(kAddressInUseDelay);
  }
}

int runDaemon(const settings::DaemonSettings& loaded) {
  returnLargeBuffers();
  try {
    return runOnFreeAddresses(loaded);
  } catch (const runtime::TransportError& error) {
    std::cerr << "cypresswalld: " << error.what() << "\n";
    return kExitCannotListen;
  } catch (const http::ListenError& error) {
    std::cerr << "cypresswalld: " << error.what() << "\n";
    return kExitCannotListen;
  }
}

/// Ends the process without running static destructors. In one of them, log4cplus joins its
/// threads, for which an ending process need not wait. In production the join never returned, so
/// that each shutdown lasted until the platform sent SIGKILL.
[[noreturn]] void endProcess(int exit_code) {
#ifdef __SANITIZE_ADDRESS__
  __lsan_do_leak_check();
#endif
  std::cout.flush();
  std::cerr.flush();
  std::quick_exit(exit_code);
}

int runProgram() {
  if (FLAGS_print_default_settings) {
    std::cout << settings::defaultSettingsText();
    return kExitOk;
  }
  if (FLAGS_print_settings_table) {
    printSettingsTable();
    return kExitOk;
  }
  const settings::DaemonSettings loaded = loadSettings();
  if (FLAGS_check_settings) {
    std::cout << "settings: ok\n";
    return kExitOk;
  }
  endProcess(runDaemon(loaded));
}

}  // namespace

int main(int argc, char** argv) {
  GFLAGS_NAMESPACE::gflags_exitfunc = [](int) { std::exit(kExitBadSettings); };
  gflags::SetUsageMessage("the daemon of cypresswall\nusage: cypresswalld --settings FILE [flags]");
  gflags::SetVersionString(CYPRESSWALL_VERSION);
  settings::registerSettingFlags();
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc > 1) {
    std::cerr << "cypresswalld: unexpected argument '" << argv[1] << "'\n";
    return kExitBadSettings;
  }
  try {
    return runProgram();
  } catch (const settings::SettingsError& error) {
    std::cerr << error.what() << "\n";
    return kExitBadSettings;
  } catch (const std::exception& error) {
    std::cerr << "cypresswalld: " << error.what() << "\n";
    return kExitFailure;
  }
}
