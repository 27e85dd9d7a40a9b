/// Reconciles the cluster's machines with the cloud: what the cloud lists, what the leader wants to
/// have, and what it wants to release.
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

/// All calls that the leader makes to the cloud, for one term of leadership at a time.
///
/// It owns the rental requests under way, the capacity backoff and the progress of the machine
/// list, and writes to the cluster which machines there are. `begin_term` and `end_term` drop the
/// answers of an earlier term. The leader calls `start` once its state is recovered, and then
/// `run_scaling_round` from its loop; MachineHealth has unreachable machines released.
class CloudReconciler {
 public:
  /// What the reconciler tells the rest of the leader; all are called on the event loop's thread.
  struct Callbacks {
    /// Asks the worker on the machine for its status.
    std::function<void(Machine&)> inspect;
    /// The machine has failed or been removed, and every task on it with it. It is still in the
    /// cluster at this time.
    std::function<void(Machine&, const std::string& reason)> all_tasks_lost;
    /// The machine is no longer in the cluster.
    std::function<void(const std::string& machine)> machine_removed;
  };

  /// `removed`: written here, asked by heartbeat processing. `activity`: the time that scaling
  /// rounds take is added to it.
  CloudReconciler(transport::Clock& clock, transport::Client& client, const Leadership& leadership,
                  const Settings& settings, MachineCatalog& catalog, ClusterState& cluster,
                  RemovedMachines& removed, LeaderActivity& activity, Callbacks callbacks);

  /// Forgets everything of an earlier term.
  void begin_term();
  /// Answers and timers that are under way have no effect any more.
  void end_term();
  /// Begins to read the machine list, again and again. `recovered_at`: when the leader had
  /// recovered its state.
  void start(Seconds recovered_at);

  /// Decides on machines to request and to release, and does so.
  void run_scaling_round();
  /// Releases these machines, as far as they are in the cluster and not being released yet; a call
  /// that fails is repeated.
  void release_machines(const std::vector<std::string>& names);
  /// Whether this term has seen the whole machine list.
  bool has_listed() const { return listed_once_; }

 private:
  void request_machines(const Market& market, int count);
  void send_rental_request(const protocol::RentalRequest& request);
  void rental_answered(const protocol::RentalRequest& request, Seconds sent_at,
                       transport::Outcome outcome, const transport::Response& response);
  void rental_granted(const protocol::RentalRequest& request, Seconds sent_at,
                      const std::string& body);
  void rental_settled(const protocol::RentalRequest& request);
  void back_off(const Market& market);

  void release_answered(const std::vector<std::string>& names, transport::Outcome outcome,
                        const transport::Response& response);
  void retry_release(const std::vector<std::string>& names);
  void remove_machine(const std::string& name, const std::string& reason);

  void list_machines();
  void request_page(const std::string& after, Seconds list_started_at);
  void page_answered(Seconds list_started_at, transport::Outcome outcome,
                     const transport::Response& response);
  void apply_page(const protocol::MachinePage& page, Seconds list_started_at);
  void apply_listed(const protocol::ListedMachine& listed, Seconds list_started_at);
  void machine_failed(const std::string& name);
  void list_completed(Seconds list_started_at);
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
  std::map<Market, int> pending_rentals_;  // machines requested and not yet answered for
  std::uint64_t rental_requests_ = 0;      // sent in this term
  Seconds recovered_at_ = 0;
  bool listing_ = false;  // a list is being read
  bool listed_once_ = false;
  Seconds catalog_refreshed_at_ = 0;  // kept over terms
};

}  // namespace larkroad::coordination
