/// Tests of the HTTP server and client over the loopback interface.
#include <gtest/gtest.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <optional>

#include "transport/asio_clock.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace larkroad::transport {
namespace {

class HttpTest : public ::testing::Test {
 protected:
  HttpTest() : clock(io), client(io, clock, 8) {
    // Binding to port 0 first finds a free port.
    asio::ip::tcp::acceptor probe(io, {asio::ip::make_address_v4("127.0.0.1"), 0});
    address = {"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    server.emplace(io, clock, address, 16, [this](Request request, Respond respond) {
      requests.push_back(request);
      if (request.target == "/never") {
        unanswered.push_back(std::move(respond));
        return;
      }
      respond({request.target == "/teapot" ? 418 : 200, request.body + "!", 0});
    });
  }

  std::pair<Outcome, Response> call(Request request, Seconds timeout = 5) {
    std::optional<std::pair<Outcome, Response>> got;
    client.call(address.text(), std::move(request), timeout,
                [&](Outcome outcome, Response response) {
                  got = {outcome, std::move(response)};
                });
    while (!got) io.run_one();
    return *got;
  }

  // Sends raw bytes and returns everything received until the server closes the connection.
  std::string send_raw(const std::string& bytes) {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address_v4(address.host), address.port});
    std::string out;
    bool closed = false;
    std::array<char, 1024> buffer;
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(buffer), [&](asio::error_code error, size_t size) {
        out.append(buffer.data(), size);
        if (error) {
          closed = true;
        } else {
          read();
        }
      });
    };
    asio::async_write(socket, asio::buffer(bytes), [](asio::error_code, size_t) {});
    read();
    while (!closed) io.run_one();
    return out;
  }

  asio::io_context io;
  AsioClock clock;
  HttpClient client;
  Address address;
  std::optional<HttpServer> server;
  std::vector<Request> requests;
  std::vector<Respond> unanswered;
};

TEST_F(HttpTest, AnswersRequestsOverPersistentConnection) {
  for (int i = 0; i < 3; ++i) {
    const auto [outcome, response] = call({"POST", "/echo?x=1", "body"});
    EXPECT_EQ(outcome, Outcome::answered);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "body!");
  }
  EXPECT_EQ(requests[0].method, "POST");
  EXPECT_EQ(requests[0].target, "/echo?x=1");
  EXPECT_EQ(call({"GET", "/teapot", ""}).second.status, 418);
}

TEST_F(HttpTest, ReceivesBodyOfMaximumSize) {
  const std::string body(kBodyLimit, 'x');
  EXPECT_EQ(call({"POST", "/echo", body}).second.body.size(), kBodyLimit + 1);
}

TEST_F(HttpTest, TimeoutIsUnknownAndRefusedConnectionIsNotSent) {
  EXPECT_EQ(call({"GET", "/never", ""}, 0.05).first, Outcome::unknown);
  EXPECT_EQ(call({"GET", "/echo", ""}).first, Outcome::answered);
  std::optional<Outcome> got;
  client.call("127.0.0.1:1", {"GET", "/", ""}, 5,
              [&](Outcome outcome, Response) { got = outcome; });
  while (!got) io.run_one();
  EXPECT_EQ(*got, Outcome::not_sent);
}

TEST_F(HttpTest, RequestsBeyondSocketLimitAreNotSent) {
  std::vector<Outcome> got;
  for (int i = 0; i < 10; ++i) {
    client.call(address.text(), {"GET", "/never", ""}, 0.2,
                [&](Outcome outcome, Response) { got.push_back(outcome); });
  }
  while (got.size() < 10) io.run_one();
  EXPECT_EQ(std::count(got.begin(), got.end(), Outcome::not_sent), 2);
  EXPECT_EQ(std::count(got.begin(), got.end(), Outcome::unknown), 8);
}

TEST_F(HttpTest, RejectsMalformedRequestsAndServesOthers) {
  EXPECT_TRUE(send_raw("NONSENSE\r\n\r\n").starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(
      send_raw("POST /echo HTTP/1.1\r\nContent-Length: x\r\n\r\n").starts_with("HTTP/1.1 400 "));
  const std::string large =
      "POST /echo HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(kBodyLimit + 1, 'x');
  EXPECT_TRUE(send_raw(large).starts_with("HTTP/1.1 413 "));
  EXPECT_EQ(call({"GET", "/echo", ""}).second.status, 200);
}

TEST_F(HttpTest, HonoursConnectionClose) {
  const std::string answer = send_raw("GET /echo HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

}  // namespace
}  // namespace larkroad::transport
