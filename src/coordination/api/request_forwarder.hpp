/// Users' requests that this controller cannot serve, because the key-value store does not answer
/// it, are handed to a peer that the store does answer.
///
/// Called by `Controller`, in front of `UserApi`. A forwarded request is answered by the peer or
/// not at all: it is never forwarded again, so requests do not circulate.
#pragma once

#include <string>

#include "coordination/api/user_api.hpp"
#include "coordination/membership/peer_registry.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

class RequestForwarder {
 public:
  RequestForwarder(transport::Clock& clock, transport::Client& client, UserApi& user_api,
                   PeerRegistry& peers)
      : clock_(clock), client_(client), user_api_(user_api), peers_(peers) {}

  /// Answers a user's request here, or by a peer when the answer here would be 503.
  void handle(const transport::Request& request, transport::Respond respond);
  /// Answers a request that a peer has forwarded. Throws `protocol::Malformed`.
  void handle_forwarded(const std::string& body, transport::Respond respond);

 private:
  /// Answers with what the peer responds, or with `own_response` if there is no valid answer.
  void forward(const PeerSettings& peer, const transport::Request& request,
               transport::Response own_response, transport::Respond respond);

  transport::Clock& clock_;
  transport::Client& client_;
  UserApi& user_api_;
  PeerRegistry& peers_;
};

}  // namespace larkroad::coordination
