/// Reconciles the cluster's machines with the cloud: reads the machine list, rents the machines
/// that the autoscaler asks for and releases those that are no longer needed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/leadership.hpp"
#include "coordination/scaling/autoscaler.hpp"
#include "coordination/scaling/fleet_usage.hpp"
#include "coordination/scaling/machine_catalog.hpp"
#include "coordination/scaling/removed_machines.hpp"
#include "protocol/cloud_messages.hpp"
#include "settings.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

/// Makes the leader's rental, release and list calls to the cloud, for one term of leadership at a
/// time.
///
/// Owns the pending rental requests, the capacity backoff and the progress of the machine list, and
/// adds machines to the cluster state and removes them. After `begin_term` or `end_term`, responses
/// to calls of the earlier term are ignored. The leader calls `start` once its state is recovered,
/// and then `run_scaling_round` from its loop. MachineHealth has unreachable machines released
/// through `release_machines`.
class CloudReconciler {
 public:
  /// Callbacks to other parts of the leader, all on the event loop's thread.
  struct Callbacks {
    /// Asks the worker on the machine for its status.
    std::function<void(Machine&)> inspect;
    /// The machine has failed or been removed, and its tasks are lost. Called while the machine is
    /// still in the cluster state.
    std::function<void(Machine&, const std::string& reason)> all_tasks_lost;
    /// The machine has been removed from the cluster state.
    std::function<void(const std::string& machine)> machine_removed;
  };

  /// `removed`: written here and read by heartbeat processing. `activity`: receives the time spent
  /// in scaling rounds.
  CloudReconciler(transport::Clock& clock, transport::Client& client, const Leadership& leadership,
                  const Settings& settings, MachineCatalog& catalog, ClusterState& cluster,
                  RemovedMachines& removed, LeaderActivity& activity, Callbacks callbacks);

  /// Resets the state of an earlier term.
  void begin_term();
  /// Cancels the effect of pending calls and timers.
  void end_term();
  /// Starts reading the machine list periodically. `recovered_at`: when the leader had recovered
  /// its state.
  void start(Seconds recovered_at);

  /// Plans one scaling round and sends its rental and release requests.
  void run_scaling_round();
  /// Releases those of the machines that are in the cluster and not already being released. Failed
  /// calls are retried.
  void release_machines(const std::vector<std::string>& names);
  /// Whether the machine list has been read completely in this term.
  bool has_complete_list() const { return listed_once_; }

 private:
  void request_machines(const Market& market, int count);
  void send_rental_request(const protocol::RentalRequest& request);
  void handle_rental_response(const protocol::RentalRequest& request, Seconds sent_at,
                              transport::Outcome outcome, const transport::Response& response);
  void handle_granted_rental(const protocol::RentalRequest& request, Seconds sent_at,
                             const std::string& body);
  void remove_pending_rental(const protocol::RentalRequest& request);
  void back_off(const Market& market);

  void handle_release_response(const std::vector<std::string>& names, transport::Outcome outcome,
                               const transport::Response& response);
  void retry_release(const std::vector<std::string>& names);
  void remove_machine(const std::string& name, const std::string& reason);

  void start_listing();
  void request_page(const std::string& after, Seconds list_started_at);
  void handle_page_response(Seconds list_started_at, transport::Outcome outcome,
                            const transport::Response& response);
  void apply_page(const protocol::MachinePage& page, Seconds list_started_at);
  void apply_listed_machine(const protocol::ListedMachine& listed, Seconds list_started_at);
  void handle_failed_machine(const std::string& name);
  void finish_listing(Seconds list_started_at);
  void remove_missing_machines(Seconds list_started_at);

  transport::Clock& clock_;
  transport::Client& client_;
  const Leadership& leadership_;
  const Settings& settings_;
  MachineCatalog& catalog_;
  ClusterState& cluster_;
  RemovedMachines& removed_;
  LeaderActivity& activity_;
  Callbacks callbacks_;

  transport::CallbackScope scope_;  // of this term of leadership
  CapacityBackoff capacity_backoff_;
  std::map<Market, int> pending_rentals_;  // machines whose rental has no response yet
  std::uint64_t rental_requests_ = 0;      // sent in this term
  Seconds recovered_at_ = 0;
  bool listing_ = false;  // a list read is in progress
  bool listed_once_ = false;
  Seconds catalog_refreshed_at_ = 0;  // kept across terms
};

}  // namespace larkroad::coordination
