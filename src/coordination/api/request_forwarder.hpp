/// Forwarding of users' requests to a peer while this controller cannot reach the key-value store.
///
/// Called by `Controller`, in front of `UserApi`. A peer never forwards a forwarded request again,
/// so requests cannot loop between controllers.
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

  /// Handles a user's request locally; if the response would be 503, forwards it to a peer that
  /// reaches the store.
  void handle(const transport::Request& request, transport::Respond respond);
  /// Handles a request forwarded by a peer. Throws `protocol::Malformed`.
  void handle_forwarded(const std::string& body, transport::Respond respond);

 private:
  /// Responds with the peer's response, or with `own_response` if the peer gives no valid one.
  void forward(const PeerSettings& peer, const transport::Request& request,
               transport::Response own_response, transport::Respond respond);

  transport::Clock& clock_;
  transport::Client& client_;
  UserApi& user_api_;
  PeerRegistry& peers_;
};

}  // namespace larkroad::coordination
