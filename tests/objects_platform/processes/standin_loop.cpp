#include "tests/objects_platform/processes/standin_loop.h"

#include <asio/post.hpp>
#include <future>
#include <utility>

namespace cypresswall::objects_platform::testing {

StandinLoop::StandinLoop() : thread_([this] { context_.run(); }) {}

StandinLoop::~StandinLoop() { stop(); }

void StandinLoop::stop() {
  if (thread_.joinable()) {
    run([this] { servers_.clear(); });
    context_.stop();
    thread_.join();
    // A closed connection is released by handlers that are still queued.
    context_.restart();
    context_.poll();
  }
}

void StandinLoop::run(const std::function<void()>& action) {
  std::packaged_task<void()> task(action);
  auto done = task.get_future();
  asio::post(context_, [&task] { task(); });
  done.get();
}

void StandinLoop::listen(const std::string& address, http::Handler handler) {
  run([&] {
    http::ServerSettings settings;
    settings.address = address;
    auto server = http::makeServer(context_, std::move(settings), std::move(handler));
    server->start();
    servers_[address] = std::move(server);
  });
}

void StandinLoop::close(const std::string& address) {
  run([&] {
    const auto found = servers_.find(address);
    if (found != servers_.end()) {
      found->second->stopListening();
      found->second->close();
      servers_.erase(found);
    }
  });
}

}  // namespace cypresswall::objects_platform::testing
