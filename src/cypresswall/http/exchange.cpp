#include "cypresswall/http/exchange.h"

#include <asio/post.hpp>
#include <chrono>
#include <utility>

#include "cypresswall/http/status_text.h"

namespace cypresswall::http {

Exchange::Exchange(std::shared_ptr<ServerState> server, std::shared_ptr<Connection> connection,
                   restinio::impl::connection_handle_t handle, restinio::request_id_t request_id,
                   bool keep_alive)
    : server_(std::move(server)),
      connection_(std::move(connection)),
      handle_(std::move(handle)),
      request_id_(request_id),
      keep_alive_(keep_alive),
      request_bytes_(connection_->memory().completeArriving()),
      last_activity_(server_->checks) {
  ++server_->open_requests;
}

Exchange::~Exchange() {
  if (!completed_) {
    --server_->open_requests;
    releaseMemory();
  }
}

template <typename Output>
restinio::response_builder_t<Output> Exchange::makeBuilder(int status,
                                                           const std::vector<Header>& headers) {
  restinio::http_status_line_t line(
      restinio::http_status_code_t(static_cast<std::uint16_t>(status)), statusText(status));
  restinio::response_builder_t<Output> builder(std::move(line), handle_, request_id_,
                                               keep_alive_ && !server_->stopping);
  for (const Header& header : headers) {
    builder.append_header(header.name, header.value);
  }
  return builder;
}

void Exchange::respond(int status, const std::vector<Header>& headers, std::string body) {
  if (state_ != State::kWaiting) {
    return;
  }
  state_ = State::kSent;
  bytes_in_flight_ = body.size();
  chargeUnsent();
  auto builder = makeBuilder<restinio::restinio_controlled_output_t>(status, headers);
  if (!body.empty()) {
    answer_ = std::make_shared<std::string>(std::move(body));
    builder.set_body(answer_);
  }
  builder.done([self = shared_from_this()](const auto&) { self->onWritten(true); });
}

void Exchange::startStream(int status, const std::vector<Header>& headers) {
  if (state_ != State::kWaiting) {
    return;
  }
  state_ = State::kStreaming;
  connection_attribute_ = restinio::response_connection_attr(keep_alive_ && !server_->stopping);
  builder_.emplace(makeBuilder<restinio::chunked_output_t>(status, headers));
  header_pending_ = true;
  scheduleFlush();
}

void Exchange::write(std::string_view chunk) {
  if (state_ != State::kStreaming) {
    return;
  }
  buffer_.append(chunk);
  if (write_in_flight_) {
    chargeUnsent();
  }
  scheduleFlush();
}

void Exchange::finishStream() {
  if (state_ != State::kStreaming) {
    return;
  }
  state_ = State::kFinishing;
  scheduleFlush();
}

void Exchange::abort() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  on_closed_ = nullptr;
  connection_->shutdown();
  complete();
}

void Exchange::discardAnswer() {
  if (answer_) {
    *answer_ = std::string();
  }
}

void Exchange::responderDropped() {
  if (state_ == State::kWaiting) {
    respond(500, {}, "");
  } else if (state_ == State::kStreaming) {
    abort();
  }
  on_drained_ = nullptr;
  on_closed_ = nullptr;
}

void Exchange::connectionClosed() {
  const bool answer_open = state_ != State::kSent && state_ != State::kClosed;
  state_ = State::kClosed;
  if (answer_open && on_closed_) {
    // The handler may release its Responder, and thus the callback, before the posted task runs.
    asio::post(server_->context, [self = shared_from_this()] {
      if (const auto callback = std::exchange(self->on_closed_, nullptr)) {
        callback();
      }
    });
  }
  complete();
}

void Exchange::scheduleFlush() {
  if (flush_scheduled_ || write_in_flight_) {
    return;
  }
  flush_scheduled_ = true;
  asio::post(server_->context, [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->flush();
  });
}

void Exchange::flush() {
  const bool last = state_ == State::kFinishing;
  if (state_ != State::kStreaming && !last) {
    return;
  }
  if (buffer_.empty() && !header_pending_ && !last) {
    return;
  }
  last_activity_ = server_->checks;
  if (header_pending_ || last || connection_->firstExchange() != this) {
    flushThroughRestinio();
  } else {
    flushDirectly();
  }
}

void Exchange::flushDirectly() {
  const auto frame = buffer_.frame();
  const auto taken = connection_->sendNow(frame);
  if (!taken) {
    buffer_.clear();
    connection_->shutdown();
    return;
  }
  if (*taken == frame.size()) {
    buffer_.clear();
    notifyDrained();
    return;
  }
  std::string rest(frame.substr(*taken));
  buffer_.clear();
  write_in_flight_ = true;
  bytes_in_flight_ = rest.size();
  chargeUnsent();
  restinio::writable_items_container_t items;
  items.emplace_back(std::move(rest));
  restinio::write_group_t group(std::move(items));
  group.after_write_notificator(
      [self = shared_from_this()](const auto&) { self->onWritten(false); });
  handle_->write_response_parts(
      request_id_, {restinio::response_parts_attr_t::not_final_parts, connection_attribute_},
      std::move(group));
}

void Exchange::flushThroughRestinio() {
  const bool last = state_ == State::kFinishing;
  header_pending_ = false;
  write_in_flight_ = true;
  bytes_in_flight_ = buffer_.pendingBytes();
  if (!buffer_.empty()) {
    builder_->append_chunk(restinio::writable_item_t(std::string(buffer_.payload())));
    buffer_.clear();
  }
  auto notify = [self = shared_from_this(), last](const auto&) { self->onWritten(last); };
  if (last) {
    state_ = State::kSent;
    builder_->done(std::move(notify));
  } else {
    builder_->flush(std::move(notify));
  }
}

void Exchange::chargeUnsent() {
  const std::size_t charged = std::exchange(unsent_bytes_, pendingBytes());
  if (unsent_bytes_ > charged) {
    connection_->memory().addUnsent(unsent_bytes_ - charged, std::chrono::steady_clock::now());
  } else {
    connection_->memory().releaseUnsent(charged - unsent_bytes_);
  }
}

void Exchange::releaseMemory() {
  connection_->memory().releaseRunning(std::exchange(request_bytes_, 0));
  connection_->memory().releaseUnsent(std::exchange(unsent_bytes_, 0));
}

void Exchange::onWritten(bool last) {
  write_in_flight_ = false;
  bytes_in_flight_ = 0;
  chargeUnsent();
  if (last) {
    complete();
    return;
  }
  // The next write is deferred, since RESTinio is still processing the write whose end it reports
  // here.
  if (!buffer_.empty() || state_ == State::kFinishing) {
    scheduleFlush();
  }
  notifyDrained();
}

void Exchange::notifyDrained() {
  if (state_ == State::kStreaming && on_drained_) {
    // The callback is copied, since it may release the Responder and thereby clear `on_drained_`.
    const auto callback = on_drained_;
    callback();
  }
}

void Exchange::complete() {
  if (std::exchange(completed_, true)) {
    return;
  }
  --server_->open_requests;
  releaseMemory();
  on_drained_ = nullptr;
  builder_.reset();
  handle_.reset();
  answer_.reset();
  connection_->removeExchange(this);
}

}  // namespace cypresswall::http
