/// The catalog of machine types.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Reads the catalog of machine types from the key-value store at start. If none is stored, reads
/// it from the cloud and stores it for the other controllers. The leader refreshes the prices.
/// Owned by the controller and used only on the event loop's thread.
class MachineCatalog {
 public:
  MachineCatalog(transport::Clock& clock, transport::Client& client, storage::KeyValueClient& store,
                 const Settings& settings)
      : clock_(clock), client_(client), store_(store), settings_(settings) {}

  /// Starts reading the catalog; retries until it is known.
  void start();
  /// Requests current types and prices from the cloud. On failure the previous ones are kept.
  void refresh();
  bool known() const { return !types_.empty(); }
  const std::vector<protocol::MachineType>& types() const { return types_; }
  /// Called after every change of the types.
  void set_on_change(std::function<void()> callback) { on_change_ = std::move(callback); }

 private:
  void read_stored();
  void handle_stored(storage::Status status, const storage::Entry& entry);
  bool apply_stored(const storage::Entry& entry);
  void handle_response(transport::Outcome outcome, const transport::Response& response);
  void set_types(std::vector<protocol::MachineType> types);
  void store();

  transport::Clock& clock_;
  transport::Client& client_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  std::vector<protocol::MachineType> types_;
  bool stored_ = false;  // is in the key-value store, or too large for it
  std::function<void()> on_change_ = [] {};
};

}  // namespace larkroad::coordination
