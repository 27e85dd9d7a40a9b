/// Sends the leader's commands to workers and tracks launches whose outcome is unknown.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "protocol/worker_messages.hpp"
#include "settings.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

using Commands = std::vector<protocol::Command>;

/// Sends commands and status queries to workers during one term of leadership.
///
/// Owns the queue of commands for each machine and the pending request for a higher fencing token.
/// Records direct calls with launches in `Machine::launches`, before they are sent.
///
/// Commands for one machine are batched for a short time and sent in one call, in the order in
/// which they were queued. A command is sent only to the agent incarnation for which it was queued,
/// and a launch only while its placement exists and this controller is the leader.
///
/// Called by heartbeat processing, eviction and the writer of placement records. Not thread-safe;
/// must be used on the event loop thread.
class CommandDispatcher {
 public:
  /// Dependencies on leadership and heartbeat processing.
  struct Callbacks {
    /// Whether this controller may currently act as the leader.
    std::function<bool()> is_leader;
    /// The current fencing token.
    std::function<std::uint64_t()> fencing_token;
    /// Replaces the fencing token by a higher one.
    std::function<void()> raise_fencing_token;
    /// Called when a worker has seen this fencing token, which is higher than the current one.
    std::function<void(std::uint64_t fencing_token)> observe_fencing_token;
    /// Processes the status returned by a worker, and returns the resulting commands.
    std::function<Commands(const protocol::Heartbeat& heartbeat)> process_heartbeat;
    /// Called when the worker on this machine has answered a call.
    std::function<void(Machine& machine)> machine_answered;
    /// Called when the worker has lost its state since an earlier message of the same incarnation.
    std::function<void(Machine& machine)> worker_restarted;
    /// Called when the worker on this machine has not answered a call with commands.
    std::function<void(Machine& machine)> machine_unanswered;
    /// Requests a scheduling cycle.
    std::function<void()> request_scheduling_cycle;
  };

  CommandDispatcher(transport::Clock& clock, transport::Client& client, ClusterState& cluster,
                    const Settings& settings, Callbacks callbacks);

  /// Begins or ends a term: drops queued commands, and ignores replies to earlier calls.
  void restart();

  /// Queues launches of tasks whose placement records are durable. A task whose machine has since
  /// begun another incarnation or lost its lease is unplaced instead.
  void launch(Job& job, const std::vector<std::uint32_t>& tasks);
  /// Queues commands for a machine, which must be in the cluster state.
  void queue(const std::string& machine_name, const Commands& commands);
  /// Requests the status of a worker, independently of its heartbeats. One that has restarted is
  /// sent a call without commands instead, which shows it the current fencing token.
  void query_status(Machine& machine);

  /// Requests a higher fencing token; see `raise_fencing_token_if_due`.
  void require_fencing() { fencing_required_ = true; }
  /// Requests a higher fencing token than that of the direct call with this launch, so that it can
  /// no longer take effect once the worker has seen the new token. Does nothing if its outcome is
  /// known, or if the token has been raised since the call: raising it again would not help with a
  /// worker that has not seen the last one.
  void require_fencing_of(const Machine& machine, const LaunchKey& launch);
  /// Raises the fencing token if requested, at most once per quarter of a lease. Must be called
  /// periodically.
  void raise_fencing_token_if_due();

  /// Returns the number of calls with commands since the last call of this function.
  std::size_t take_sent_calls() { return std::exchange(sent_call_count_, 0); }

 private:
  struct QueuedCommands {
    std::uint64_t incarnation = 0;  // the target agent incarnation
    Commands commands;
  };

  void send_queued();
  void drop_stale_launches(Machine& machine, Commands& commands);
  bool is_stale_launch(const Machine& machine, const protocol::Command& command) const;
  // What was known of a worker when a call was sent. Its answer is no copy of an earlier message,
  // so it has a higher sequence number, unless the worker has restarted.
  struct Target {
    std::string machine;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  void send(const Machine& machine, const Commands& commands);
  void handle_reply(const Target& target, const Commands& commands, transport::Outcome outcome,
                    const transport::Response& response);
  bool has_restarted(const Target& target, const Machine& machine,
                     const protocol::Heartbeat& status) const;
  static void resolve_launches(Machine& machine, const Commands& commands,
                               transport::Outcome outcome, int status);
  std::optional<Commands> process_status_reply(const Target& target,
                                               const std::string& status) const;

  transport::Clock& clock_;
  transport::Client& client_;
  ClusterState& cluster_;
  const Settings& settings_;
  Callbacks callbacks_;
  transport::CallbackScope scope_;  // ends with the term of leadership
  std::map<std::string, QueuedCommands> queued_commands_;
  bool sending_scheduled_ = false;
  bool fencing_required_ = false;
  Seconds fencing_token_raised_at_ = 0;
  std::size_t sent_call_count_ = 0;
};

}  // namespace larkroad::coordination
