#include "transport/http_client.hpp"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <asio/connect.hpp>
#include <asio/write.hpp>
#include <cstdlib>
#include <optional>
#include <utility>

namespace larkroad::transport {
namespace {

// Connections that have been idle for this long are closed.
constexpr Seconds kIdleLimit = 30;
constexpr Seconds kCloseExpiredInterval = kIdleLimit / 3;
// Limit on the size of a response body. Pages of the key-value store are 512 KiB, and its watch
// responses are not limited in size.
constexpr size_t kMaxResponseBytes = size_t{8} * 1024 * 1024;
constexpr size_t kReadBufferBytes = 8192;
constexpr int kMaxPort = 65535;
// When the socket limit is reached, up to (limit / divisor + 1) idle connections are closed, those
// idle for longest first, so that new ones can be opened.
constexpr size_t kIdleEvictionDivisor = 8;

std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  asio::error_code error;
  const auto address = asio::ip::make_address_v4(text.substr(0, colon), error);
  if (error) return std::nullopt;
  const int port = std::atoi(text.c_str() + colon + 1);
  if (port <= 0 || port > kMaxPort) return std::nullopt;
  return asio::ip::tcp::endpoint(address, static_cast<unsigned short>(port));
}

std::string encode_request(const std::string& endpoint, const Request& request) {
  std::string out =
      request.method + " " + request.target + " HTTP/1.1\r\nHost: " + endpoint + "\r\n";
  if (!request.body.empty() || request.method == "POST") {
    out +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) +
        "\r\n";
  }
  out += "\r\n" + request.body;
  return out;
}

}  // namespace

/// One connection to an endpoint. Connects on its first request and is idle between requests.
///
/// Kept alive by its handlers pending in the event loop and, while idle, by the pool.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& owner, std::string endpoint)
      : owner_(owner.self_), endpoint_(std::move(endpoint)), socket_(owner.io_) {
    ++owner.open_connections_;
  }
  ~Connection() { close(); }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sends a request. Must not be called while another one is in progress.
  void call(const Request& request, Seconds timeout, OnReply on_reply) {
    on_reply_ = std::move(on_reply);
    response_ = {};
    outgoing_ = encode_request(endpoint_, request);
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    complete_ = false;
    start_timer(timeout);
    if (connected_) {
      send();
    } else {
      connect();
    }
  }

  void close() {
    if (closed_) return;
    asio::error_code ignored;
    socket_.close(ignored);
    connected_ = false;
    closed_ = true;
    if (*owner_ != nullptr) --(*owner_)->open_connections_;
  }

  bool closed() const { return closed_; }
  const std::string& endpoint() const { return endpoint_; }
  Seconds idle_since() const { return idle_since_; }
  void set_idle_since(Seconds now) { idle_since_ = now; }

 private:
  void start_timer(Seconds timeout) {
    timer_ = (*owner_)->clock_.after(timeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->timer_.reset();
        self->fail();
      }
    });
  }

  void stop_timer() {
    if (timer_) (*owner_)->clock_.cancel(*timer_);
    timer_.reset();
  }

  void connect() {
    const auto endpoint = parse_endpoint(endpoint_);
    if (!endpoint) {
      // Deferred, as the callback must not run before call() has returned.
      (*owner_)->clock_.after(0, [self = shared_from_this()] { self->fail(); });
      return;
    }
    socket_.async_connect(*endpoint, [self = shared_from_this()](const asio::error_code& error) {
      if (!self->on_reply_) return;  // timed out in the meantime
      if (error) {
        self->fail();
        return;
      }
      asio::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->connected_ = true;
      self->send();
      self->read();
    });
  }

  void send() {
    sent_ = true;
    asio::async_write(socket_, asio::buffer(outgoing_),
                      [self = shared_from_this()](const asio::error_code& error, size_t) {
                        if (error && self->on_reply_) self->fail();
                      });
  }

  // A read is always pending, so that a connection closed by the server while idle is detected
  // before it is reused.
  void read() {
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](
                                                       const asio::error_code& error, size_t size) {
      if (error || !self->on_reply_) {
        self->handle_disconnect(error);
      } else {
        self->handle_data(size);
      }
    });
  }

  // Called when the connection ended or the server sent data without a request.
  void handle_disconnect(const asio::error_code& error) {
    if (error == asio::error::eof && on_reply_) {
      // End of file may mark the end of the response.
      http_parser_execute(&parser_, &kCallbacks, nullptr, 0);
    }
    const bool response_complete = on_reply_ && complete_;
    close();
    if (on_reply_) finish(response_complete);
  }

  void handle_data(size_t size) {
    const size_t parsed = http_parser_execute(&parser_, &kCallbacks, buffer_.data(), size);
    if (!complete_ && (parsed != size || HTTP_PARSER_ERRNO(&parser_) != HPE_OK)) {
      close();
      fail();
      return;
    }
    if (complete_) {
      if (http_should_keep_alive(&parser_) == 0) close();
      finish(true);
      if (closed_) return;
    }
    read();
  }

  void fail() { finish(false); }

  // Completes the current request. The connection is made idle or closed before the callback runs.
  void finish(bool answered) {
    if (*owner_ == nullptr) return;
    stop_timer();
    const OnReply on_reply = std::exchange(on_reply_, nullptr);
    const Outcome unanswered = sent_ ? Outcome::unknown : Outcome::not_sent;
    const Outcome outcome = answered ? Outcome::answered : unanswered;
    sent_ = false;
    Response response = std::move(response_);
    if (answered && !closed_) {
      (*owner_)->add_idle(shared_from_this());
    } else {
      close();
    }
    if (on_reply) on_reply(outcome, std::move(response));
  }

  static Connection& connection_of(http_parser* parser) {
    return *static_cast<Connection*>(parser->data);
  }

  static int handle_body(http_parser* parser, const char* data, size_t length) {
    std::string& body = connection_of(parser).response_.body;
    if (body.size() + length > kMaxResponseBytes) return 1;
    body.append(data, length);
    return 0;
  }

  static int handle_complete(http_parser* parser) {
    Connection& connection = connection_of(parser);
    connection.response_.status = static_cast<int>(parser->status_code);
    connection.complete_ = true;
    return 0;
  }

  static http_parser_settings parser_callbacks() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_body = handle_body;
    settings.on_message_complete = handle_complete;
    return settings;
  }
  static const http_parser_settings kCallbacks;

  std::shared_ptr<HttpClient*> owner_;  // holds nullptr once the client is destroyed
  std::string endpoint_;
  asio::ip::tcp::socket socket_;
  std::array<char, kReadBufferBytes> buffer_;
  std::string outgoing_;
  http_parser parser_{};
  Response response_;
  OnReply on_reply_;  // empty if no request is in progress
  std::optional<TimerId> timer_;
  Seconds idle_since_ = 0;
  bool connected_ = false;
  bool sent_ = false;      // the request may have reached the server
  bool complete_ = false;  // the response has been fully received
  bool closed_ = false;
};

const http_parser_settings HttpClient::Connection::kCallbacks =
    HttpClient::Connection::parser_callbacks();

HttpClient::HttpClient(asio::io_context& io, Clock& clock, size_t max_sockets)
    : io_(io),
      clock_(clock),
      max_sockets_(max_sockets),
      self_(std::make_shared<HttpClient*>(this)),
      scope_(clock) {
  schedule_close_expired();
}

HttpClient::~HttpClient() { *self_ = nullptr; }

void HttpClient::call(const std::string& endpoint, Request request, Seconds timeout,
                      OnReply on_reply) {
  if (const ConnectionPtr connection = take_idle(endpoint)) {
    connection->call(request, timeout, std::move(on_reply));
    return;
  }
  // Close idle connections rather than fail the request, as there may be more machines to contact
  // than sockets.
  if (open_connections_ >= max_sockets_)
    close_longest_idle(max_sockets_ / kIdleEvictionDivisor + 1);
  if (open_connections_ >= max_sockets_) {
    clock_.after(0, [on_reply = std::move(on_reply)] { on_reply(Outcome::not_sent, {}); });
    return;
  }
  std::make_shared<Connection>(*this, endpoint)->call(request, timeout, std::move(on_reply));
}

HttpClient::ConnectionPtr HttpClient::take_idle(const std::string& endpoint) {
  auto& connections = idle_[endpoint];
  while (!connections.empty()) {
    ConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    if (!connection->closed()) return connection;
  }
  return nullptr;
}

void HttpClient::add_idle(const ConnectionPtr& connection) {
  connection->set_idle_since(clock_.now());
  idle_[connection->endpoint()].push_back(connection);
}

void HttpClient::close_longest_idle(size_t count) {
  std::vector<Connection*> open;
  for (const auto& [endpoint, connections] : idle_) {
    for (const ConnectionPtr& connection : connections) {
      if (!connection->closed()) open.push_back(connection.get());
    }
  }
  count = std::min(count, open.size());
  const auto end = open.begin() + static_cast<std::ptrdiff_t>(count);
  std::nth_element(open.begin(), end, open.end(), [](const Connection* a, const Connection* b) {
    return a->idle_since() < b->idle_since();
  });
  std::for_each(open.begin(), end, [](Connection* connection) { connection->close(); });
}

void HttpClient::close_expired() {
  const Seconds now = clock_.now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& connections = it->second;
    std::erase_if(connections, [&](const ConnectionPtr& connection) {
      if (!connection->closed() && now - connection->idle_since() < kIdleLimit) return false;
      connection->close();
      return true;
    });
    it = connections.empty() ? idle_.erase(it) : std::next(it);
  }
  schedule_close_expired();
}

void HttpClient::schedule_close_expired() {
  scope_.after(kCloseExpiredInterval, [this] { close_expired(); });
}

}  // namespace larkroad::transport
