// One controller: everything it runs, wired together, and what it tells the others.
#pragma once

#include "coordination/catalog.hpp"
#include "coordination/election.hpp"
#include "coordination/front.hpp"
#include "coordination/leader.hpp"
#include "settings.hpp"
#include "storage/state_client.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

class Node {
 public:
  Node(transport::Clock& clock, transport::Client& client, const Settings& settings);
  void start();

  // Users, workers and the load balancer.
  void handle_client(transport::Request request, transport::Respond respond);
  // The other controllers.
  void handle_peer(transport::Request request, transport::Respond respond);

  const Election& election() const { return election_; }

 private:
  transport::Response checkin(const std::string& body);
  void tell_peers();
  bool healthy();

  transport::Clock& clock_;
  transport::Client& client_;
  const Settings& settings_;
  storage::StateClient state_;
  Catalog catalog_;
  Election election_;
  Front front_;
  Leader leader_;
  // When each peer last said that the state service answers it.
  std::map<std::string, Seconds> peer_serves_;
};

}  // namespace larkroad::coordination
