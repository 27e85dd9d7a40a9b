// The machine types this node knows, and how it came to know them.
#pragma once

#include <functional>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {

using transport::Seconds;

// Read from the state service at start, else from the cloud; the leader refreshes the prices.
class MachineCatalog {
 public:
  MachineCatalog(transport::Clock& clock, transport::Client& client, storage::KeyValueClient& store,
                 const Settings& settings)
      : clock_(clock), client_(client), store_(store), settings_(settings) {}

  void start();
  // Asks the cloud for the present types and prices.
  void refresh();
  bool known() const { return !types_.empty(); }
  const std::vector<protocol::MachineType>& types() const { return types_; }
  std::function<void()> on_change = [] {};

 private:
  void read_state();
  void adopt(std::vector<protocol::MachineType> types);

  transport::Clock& clock_;
  transport::Client& client_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  std::vector<protocol::MachineType> types_;
  bool stored_ = false;
};

}  // namespace larkroad::coordination
