#include "transport/http_client.hpp"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <asio/connect.hpp>
#include <asio/write.hpp>

#include "log.hpp"

namespace larkroad::transport {
namespace {

// A kept connection that nobody used for this long is closed.
constexpr Seconds kIdleLimit = 30;
// The largest answer taken: the state service pages at 512 KiB, watches have no limit of their own.
constexpr size_t kAnswerLimit = size_t{8} * 1024 * 1024;

}  // namespace

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& owner, std::string endpoint)
      : owner_(owner.self_), endpoint_(std::move(endpoint)), socket_(owner.io_) {
    ++owner.open_;
  }
  ~Connection() {
    if (!dead_ && *owner_ != nullptr) --(*owner_)->open_;
  }

  void start(Request request, Seconds timeout, OnReply on_reply) {
    on_reply_ = std::move(on_reply);
    answer_ = {};
    out_ = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + endpoint_ + "\r\n";
    if (!request.body.empty() || request.method == "POST") {
      out_ += "Content-Type: application/json\r\nContent-Length: " +
              std::to_string(request.body.size()) + "\r\n";
    }
    out_ += "\r\n" + request.body;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    complete_ = false;
    timer_ = (*owner_)->clock_.after(timeout, [self = weak_from_this()] {
      if (auto me = self.lock()) {
        me->timer_ = 0;
        me->finish(false);
      }
    });
    if (connected_) {
      send();
    } else {
      connect();
    }
  }

  const std::string& endpoint() const { return endpoint_; }
  Seconds parked_at = 0;

  void close() {
    if (dead_) return;
    asio::error_code ignored;
    socket_.close(ignored);
    connected_ = false;
    dead_ = true;
    if (*owner_ != nullptr) --(*owner_)->open_;
  }
  bool dead() const { return dead_; }

 private:
  void connect() {
    const auto colon = endpoint_.rfind(':');
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(endpoint_.substr(0, colon), error);
    int port = 0;
    if (!error && colon != std::string::npos) port = std::atoi(endpoint_.c_str() + colon + 1);
    if (error || port <= 0 || port > 65535) {
      // Never from inside call(): the caller must not be entered again before it returns.
      (*owner_)->clock_.after(0, [me = shared_from_this()] { me->finish(false); });
      return;
    }
    socket_.async_connect(asio::ip::tcp::endpoint(address, static_cast<unsigned short>(port)),
                          [me = shared_from_this()](const asio::error_code& failed) {
                            if (!me->on_reply_) return;  // timed out meanwhile
                            if (failed) {
                              me->finish(false);
                              return;
                            }
                            asio::error_code ignored;
                            me->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
                            me->connected_ = true;
                            me->send();
                            me->read();
                          });
  }

  void send() {
    sent_ = true;
    asio::async_write(socket_, asio::buffer(out_),
                      [me = shared_from_this()](const asio::error_code& error, size_t) {
                        if (error && me->on_reply_) me->finish(false);
                      });
  }

  // One read is always under way, so that a connection closed by the other side while it is
  // parked is noticed before it is used again.
  void read() {
    socket_.async_read_some(asio::buffer(buffer_), [me = shared_from_this()](
                                                       const asio::error_code& error, size_t size) {
      if (error || !me->on_reply_) {
        if (error == asio::error::eof && me->on_reply_) {
          http_parser_execute(&me->parser_, &kCallbacks, nullptr, 0);
        }
        const bool whole = me->on_reply_ && me->complete_;
        me->close();
        if (me->on_reply_) me->finish(whole);
        return;
      }
      const size_t used = http_parser_execute(&me->parser_, &kCallbacks, me->buffer_.data(), size);
      if (!me->complete_ && (used != size || HTTP_PARSER_ERRNO(&me->parser_) != HPE_OK)) {
        me->close();
        me->finish(false);
        return;
      }
      if (me->complete_) {
        if (!http_should_keep_alive(&me->parser_)) me->close();
        me->finish(true);
        if (me->dead_) return;
      }
      me->read();
    });
  }

  void finish(bool answered) {
    if (*owner_ == nullptr) return;
    if (timer_ != 0) {
      (*owner_)->clock_.cancel(timer_);
      timer_ = 0;
    }
    auto on_reply = std::move(on_reply_);
    on_reply_ = nullptr;
    const Outcome outcome =
        answered ? Outcome::answered : (sent_ ? Outcome::unknown : Outcome::not_sent);
    sent_ = false;
    Response answer = std::move(answer_);
    if (answered && !dead_) {
      (*owner_)->park(shared_from_this());
    } else {
      close();
    }
    if (on_reply) on_reply(outcome, std::move(answer));
  }

  static Connection* self(http_parser* parser) { return static_cast<Connection*>(parser->data); }

  static http_parser_settings callbacks() {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_body = [](http_parser* p, const char* at, size_t length) {
      auto* me = self(p);
      if (me->answer_.body.size() + length > kAnswerLimit) return 1;
      me->answer_.body.append(at, length);
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      auto* me = self(p);
      me->answer_.status = static_cast<int>(p->status_code);
      me->complete_ = true;
      return 0;
    };
    return s;
  }
  static const http_parser_settings kCallbacks;

  std::shared_ptr<HttpClient*> owner_;
  std::string endpoint_;
  asio::ip::tcp::socket socket_;
  std::array<char, 8192> buffer_;
  std::string out_;
  http_parser parser_{};
  Response answer_;
  OnReply on_reply_;
  TimerId timer_ = 0;
  bool connected_ = false;
  bool sent_ = false;
  bool complete_ = false;
  bool dead_ = false;
};

const http_parser_settings HttpClient::Connection::kCallbacks = HttpClient::Connection::callbacks();

HttpClient::HttpClient(asio::io_context& io, Clock& clock, size_t max_sockets)
    : io_(io),
      clock_(clock),
      max_sockets_(max_sockets),
      self_(std::make_shared<HttpClient*>(this)) {
  clock_.after(kIdleLimit / 3, [this] { sweep(); });
}

HttpClient::~HttpClient() { *self_ = nullptr; }

void HttpClient::call(const std::string& endpoint, Request request, Seconds timeout,
                      OnReply on_reply) {
  auto& idle = idle_[endpoint];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->dead()) continue;
    connection->start(std::move(request), timeout, std::move(on_reply));
    return;
  }
  // Kept connections are a help only: they make way before a call goes without a socket, which
  // matters where more machines are talked to than there are sockets.
  if (open_ >= max_sockets_) close_idle(max_sockets_ / 8 + 1);
  if (open_ >= max_sockets_) {
    clock_.after(0, [on_reply = std::move(on_reply)] { on_reply(Outcome::not_sent, {}); });
    return;
  }
  std::make_shared<Connection>(*this, endpoint)
      ->start(std::move(request), timeout, std::move(on_reply));
}

void HttpClient::park(const std::shared_ptr<Connection>& connection) {
  connection->parked_at = clock_.now();
  idle_[connection->endpoint()].push_back(connection);
}

// Closes the `count` connections that have been parked for longest.
void HttpClient::close_idle(size_t count) {
  std::vector<Connection*> parked;
  for (const auto& [endpoint, list] : idle_) {
    for (const auto& connection : list) {
      if (!connection->dead()) parked.push_back(connection.get());
    }
  }
  count = std::min(count, parked.size());
  std::nth_element(
      parked.begin(), parked.begin() + static_cast<std::ptrdiff_t>(count), parked.end(),
      [](const Connection* a, const Connection* b) { return a->parked_at < b->parked_at; });
  for (size_t i = 0; i < count; ++i) parked[i]->close();
}

void HttpClient::sweep() {
  const Seconds now = clock_.now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& list = it->second;
    std::erase_if(list, [&](const auto& connection) {
      if (!connection->dead() && now - connection->parked_at < kIdleLimit) return false;
      connection->close();
      return true;
    });
    it = list.empty() ? idle_.erase(it) : std::next(it);
  }
  clock_.after(kIdleLimit / 3, [this] { sweep(); });
}

}  // namespace larkroad::transport
