#include "coordination/api/request_forwarder.hpp"

#include <exception>
#include <memory>
#include <optional>
#include <utility>

#include "log.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/user_routes.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;

using transport::Outcome;
using transport::Request;
using transport::Respond;
using transport::Response;

// Users time out after 2 s on a query, of which this controller may already have used 1.5 s
// (kResponseTimeout).
constexpr Seconds kForwardTimeout = 0.5;
// Escaping the body as a JSON string enlarges it; above this size the message might exceed the body
// limit of the peer's server.
constexpr std::size_t kMaxForwardedBodyBytes = transport::kBodyLimit / 4;

bool is_forwardable(const Request& request, const Response& response) {
  return response.status == http_status::kServiceUnavailable &&
         request.target != protocol::kHealthPath;
}

std::optional<Response> parse_peer_response(const PeerSettings& peer, Outcome outcome,
                                            const Response& reply) {
  if (outcome != Outcome::answered || reply.status != http_status::kOk) return std::nullopt;
  try {
    auto response = protocol::parse_forwarded_response(reply.body);
    return Response{response.status, std::move(response.body), response.retry_after_s};
  } catch (const std::exception& error) {
    spdlog::error("invalid response to forwarded request: member={} error={}", peer.member,
                  error.what());
    return std::nullopt;
  }
}

}  // namespace

void RequestForwarder::handle(const Request& request, Respond respond) {
  // All users' requests are idempotent, so one may take effect twice: here, with the store's reply
  // lost, and at the peer.
  auto original = std::make_shared<const Request>(request);
  user_api_.handle(request, [this, original, respond = std::move(respond)](Response response) {
    const PeerSettings* peer =
        is_forwardable(*original, response) ? peers_.next_with_store_access(clock_.now()) : nullptr;
    if (peer == nullptr || original->body.size() > kMaxForwardedBodyBytes) {
      respond(std::move(response));
    } else {
      forward(*peer, *original, std::move(response), respond);
    }
  });
}

void RequestForwarder::forward(const PeerSettings& peer, const Request& request,
                               Response own_response, Respond respond) {
  const std::string message =
      protocol::encode_forwarded_request({request.method, request.target, request.body});
  client_.call(peer.addr.text(), {"POST", protocol::kForwardedRequestPath, message},
               kForwardTimeout,
               [&peer, own_response = std::move(own_response), respond = std::move(respond)](
                   Outcome outcome, const Response& reply) {
                 respond(parse_peer_response(peer, outcome, reply).value_or(own_response));
               });
}

void RequestForwarder::handle_forwarded(const std::string& body, Respond respond) {
  auto request = protocol::parse_forwarded_request(body);
  user_api_.handle({std::move(request.method), std::move(request.target), std::move(request.body)},
                   [respond = std::move(respond)](const Response& response) {
                     respond({http_status::kOk,
                              protocol::encode_forwarded_response(
                                  {response.status, response.body, response.retry_after_s}),
                              0});
                   });
}

}  // namespace larkroad::coordination
