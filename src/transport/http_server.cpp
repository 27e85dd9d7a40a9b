#include "transport/http_server.hpp"

#include <http_parser.h>

#include <array>
#include <asio/write.hpp>
#include <optional>
#include <string>
#include <utility>

#include "log.hpp"
#include "transport/http_status.hpp"

namespace larkroad::transport {
namespace {

// Connections without a request in progress are closed after this time. Users poll about every 5 s.
constexpr Seconds kIdleLimit = 60;
// Time within which a request that has started to arrive must be complete, and within which a
// response must be sent.
constexpr Seconds kMessageLimit = 10;
constexpr Seconds kAcceptRetryDelay = 0.05;
constexpr size_t kReadBufferBytes = 4096;
// Above this share of its connection limit, the server closes the connections of clients that do
// not need a persistent one, so that health checks and users always find a free connection.
constexpr double kNearLimitShare = 0.75;

const char* reason_phrase(int status) {
  switch (status) {
    case http_status::kOk:
      return "OK";
    case http_status::kCreated:
      return "Created";
    case http_status::kBadRequest:
      return "Bad Request";
    case http_status::kNotFound:
      return "Not Found";
    case http_status::kMethodNotAllowed:
      return "Method Not Allowed";
    case http_status::kRequestTimeout:
      return "Request Timeout";
    case http_status::kPayloadTooLarge:
      return "Payload Too Large";
    case http_status::kMisdirectedRequest:
      return "Misdirected Request";
    case http_status::kUnprocessableEntity:
      return "Unprocessable Entity";
    case http_status::kTooManyRequests:
      return "Too Many Requests";
    case http_status::kServiceUnavailable:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::string encode_response(const Response& response, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " +
                    reason_phrase(response.status) +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after_s > 0) {
    out += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
  }
  if (!keep_alive) out += "Connection: close\r\n";
  out += "\r\n";
  out += response.body;
  return out;
}

}  // namespace

/// One accepted connection. Reads a request, waits for the response, writes it, and repeats.
///
/// Kept alive by its handlers pending in the event loop and by requests waiting for a response.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<HttpServer*> owner, asio::ip::tcp::socket socket)
      : owner_(std::move(owner)), socket_(std::move(socket)) {
    ++(*owner_)->open_connections_;
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }
  ~Session() {
    if (*owner_ == nullptr) return;
    stop_timer();
    (*owner_)->handle_session_closed();
  }

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void start() {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    read();
  }

 private:
  void read() {
    start_timer(request_started_ ? kMessageLimit : kIdleLimit);
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](
                                                       const asio::error_code& error, size_t size) {
      if (error) return;
      self->stop_timer();
      self->parsed_ = 0;
      self->received_ = size;
      self->parse();
    });
  }

  // Continues parsing the bytes that have been received but not yet parsed.
  void parse() {
    while (parsed_ < received_) {
      parsed_ +=
          http_parser_execute(&parser_, &kCallbacks, buffer_.data() + parsed_, received_ - parsed_);
      if (request_complete_) {
        handle_request();
        return;
      }
      if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade) {
        reject(too_large_ ? http_status::kPayloadTooLarge : http_status::kBadRequest);
        return;
      }
    }
    read();
  }

  void handle_request() {
    request_complete_ = false;
    request_started_ = false;
    keep_alive_ = http_should_keep_alive(&parser_) != 0;
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    http_parser_pause(&parser_, 0);
    const HttpServer* server = *owner_;
    if (server == nullptr) return;
    server->handler_(std::exchange(request_, {}), respond_once());
  }

  // The handler may respond immediately or later. Only its first response is sent.
  Respond respond_once() {
    auto responded = std::make_shared<bool>(false);
    return [self = shared_from_this(), responded](const Response& response) {
      if (std::exchange(*responded, true)) return;
      self->write(response);
    };
  }

  void reject(int status) {
    keep_alive_ = false;
    write({status, R"({"error":"malformed request"})", 0});
  }

  void write(const Response& response) {
    if (response.close_near_limit && *owner_ != nullptr && (*owner_)->near_connection_limit()) {
      keep_alive_ = false;
    }
    outgoing_ = encode_response(response, keep_alive_);
    start_timer(kMessageLimit);
    asio::async_write(socket_, asio::buffer(outgoing_),
                      [self = shared_from_this()](const asio::error_code& error, size_t) {
                        self->stop_timer();
                        if (!error) self->handle_written();
                      });
  }

  void handle_written() {
    if (keep_alive_) {
      parse();
      return;
    }
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }

  // Closes the connection unless the timer is stopped within `limit`.
  void start_timer(Seconds limit) {
    stop_timer();
    if (*owner_ == nullptr) return;
    timer_ = (*owner_)->clock_.after(limit, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->timer_.reset();
        asio::error_code ignored;
        self->socket_.close(ignored);
      }
    });
  }

  void stop_timer() {
    if (timer_ && *owner_ != nullptr) (*owner_)->clock_.cancel(*timer_);
    timer_.reset();
  }

  static Session& session_of(http_parser* parser) { return *static_cast<Session*>(parser->data); }

  static int handle_message_begin(http_parser* parser) {
    Session& session = session_of(parser);
    session.request_ = {};
    session.request_started_ = true;
    session.too_large_ = false;
    return 0;
  }

  static int handle_url(http_parser* parser, const char* data, size_t length) {
    session_of(parser).request_.target.append(data, length);
    return 0;
  }

  static int handle_body(http_parser* parser, const char* data, size_t length) {
    Session& session = session_of(parser);
    if (session.request_.body.size() + length > kBodyLimit) {
      session.too_large_ = true;
      return 1;
    }
    session.request_.body.append(data, length);
    return 0;
  }

  static int handle_complete(http_parser* parser) {
    session_of(parser).request_complete_ = true;
    // Stop parsing, so that pipelined requests wait for this response.
    http_parser_pause(parser, 1);
    return 0;
  }

  static http_parser_settings parser_callbacks() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = handle_message_begin;
    settings.on_url = handle_url;
    settings.on_body = handle_body;
    settings.on_message_complete = handle_complete;
    return settings;
  }
  static const http_parser_settings kCallbacks;

  std::shared_ptr<HttpServer*> owner_;  // holds nullptr once the server is destroyed
  asio::ip::tcp::socket socket_;
  std::array<char, kReadBufferBytes> buffer_;
  size_t parsed_ = 0;    // bytes of the buffer that have been parsed
  size_t received_ = 0;  // bytes in the buffer
  http_parser parser_{};
  Request request_;
  std::string outgoing_;
  std::optional<TimerId> timer_;
  bool request_started_ = false;
  bool request_complete_ = false;
  bool too_large_ = false;
  bool keep_alive_ = true;
};

const http_parser_settings HttpServer::Session::kCallbacks =
    HttpServer::Session::parser_callbacks();

HttpServer::HttpServer(asio::io_context& io, Clock& clock, const Address& listen_address,
                       size_t max_connections, Handler handler)
    : clock_(clock),
      acceptor_(io),
      max_connections_(max_connections),
      handler_(std::move(handler)),
      self_(std::make_shared<HttpServer*>(this)),
      scope_(clock) {
  listen(listen_address);
  accept();
}

HttpServer::~HttpServer() { *self_ = nullptr; }

void HttpServer::listen(const Address& address) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(address.host), address.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
}

bool HttpServer::near_connection_limit() const {
  return static_cast<double>(open_connections_) >
         kNearLimitShare * static_cast<double>(max_connections_);
}

void HttpServer::accept() {
  accept_suspended_ = open_connections_ >= max_connections_;
  if (accept_suspended_) return;
  acceptor_.async_accept(
      scope_.wrap([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        handle_accepted(error, std::move(socket));
      }));
}

void HttpServer::handle_accepted(const asio::error_code& error, asio::ip::tcp::socket socket) {
  if (error) {
    // Most likely out of file descriptors: retry after a delay instead of spinning.
    spdlog::debug("connection accept failed: error={}", error.message());
    scope_.after(kAcceptRetryDelay, [this] { accept(); });
    return;
  }
  std::make_shared<Session>(self_, std::move(socket))->start();
  accept();
}

void HttpServer::handle_session_closed() {
  --open_connections_;
  if (accept_suspended_) accept();
}

}  // namespace larkroad::transport
