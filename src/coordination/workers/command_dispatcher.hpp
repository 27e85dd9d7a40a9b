/// Commands that the leader sends straight to workers, and launches whose outcome is not known.
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

/// Names one start of a task: the task and its attempt.
using LaunchKey = std::pair<TaskId, std::uint64_t>;

/// Sends commands and status queries to workers during one term of leadership.
///
/// Owns the commands that wait to be sent, by machine, and the request for a higher fencing token.
/// Keeps `Machine::unresolved_launches` and `Machine::direct_launches` true to what was sent: an
/// entry is made before a launch leaves, and goes only once the launch can no longer take effect.
///
/// Commands for one machine are gathered for a moment and go in one call, in the order in which
/// they were queued. A command is sent only to the agent incarnation for which it was queued, and a
/// launch only while its placement stands and this controller leads.
///
/// Called by heartbeat processing, eviction and the writer of placement records. Not thread-safe:
/// to be used on the one thread of the event loop.
class CommandDispatcher {
 public:
  /// What the dispatcher needs of the leadership and of heartbeat processing.
  struct Callbacks {
    /// Whether this controller may act as the leader now.
    std::function<bool()> is_leader;
    /// The present fencing token.
    std::function<std::uint64_t()> fencing_token;
    /// Replaces the fencing token by a higher one.
    std::function<void()> raise_fencing_token;
    /// A worker has seen this fencing token, which is higher than the present one.
    std::function<void(std::uint64_t fencing_token)> observe_fencing_token;
    /// Takes in the status that a worker returned, and returns the commands that follow from it.
    std::function<Commands(const protocol::Heartbeat& heartbeat)> process_heartbeat;
    /// A call reached the worker on this machine.
    std::function<void(Machine& machine)> machine_answered;
    /// A call for commands was not answered by the worker on this machine.
    std::function<void(Machine& machine)> machine_unanswered;
    std::function<void()> request_plan;
  };

  CommandDispatcher(transport::Clock& clock, transport::Client& client, ClusterState& cluster,
                    const Settings& settings, Callbacks callbacks);

  /// Begins or ends a term: drops what is queued, and ignores answers to earlier calls.
  void restart();

  /// Queues the launch of tasks whose placement records are durable. A task whose machine began
  /// another incarnation or lost its lease meanwhile wants a place again.
  void launch(Job& job, const std::vector<std::uint32_t>& tasks);
  /// Queues commands for a machine of the cluster.
  void queue(const std::string& machine_name, const Commands& commands);
  /// Asks a worker for its status, outside of its own heartbeats.
  void query_status(Machine& machine);

  /// Asks for a higher fencing token, see `raise_fencing_token_if_due`.
  void require_fencing() { fencing_required_ = true; }
  /// The same, so that this launch can no longer take effect once the worker has seen the token.
  /// No effect when the token has been raised since the launch: raising it again for a worker that
  /// has not seen the last one would not help.
  void require_fencing_of(const UnresolvedLaunch& launch);
  /// Raises the fencing token if that is asked for, at most every quarter of a lease. To be called
  /// periodically.
  void raise_fencing_token_if_due();

  /// Calls with commands since this was last asked for.
  std::size_t take_sent_calls() { return std::exchange(sent_calls_, 0); }

 private:
  struct QueuedCommands {
    std::uint64_t incarnation = 0;  // the agent incarnation for which they are meant
    Commands commands;
  };

  void send_queued();
  void drop_stale_launches(Machine& machine, Commands& commands);
  bool is_stale_launch(const Machine& machine, const protocol::Command& command) const;
  void record_launch(Machine& machine, const LaunchKey& launch) const;
  void send(const Machine& machine, const Commands& commands);
  void handle_reply(const std::string& machine_name, const Commands& commands,
                    transport::Outcome outcome, const transport::Response& response);
  static void resolve_launches(Machine& machine, const Commands& commands,
                               transport::Outcome outcome, int status);
  std::optional<Commands> process_status(const std::string& machine_name,
                                         const std::string& status) const;

  transport::Clock& clock_;
  transport::Client& client_;
  ClusterState& cluster_;
  const Settings& settings_;
  Callbacks callbacks_;
  transport::CallbackScope scope_;  // of this term of leadership
  std::map<std::string, QueuedCommands> queued_commands_;
  bool sending_scheduled_ = false;
  bool fencing_required_ = false;
  Seconds fenced_at_ = 0;
  std::size_t sent_calls_ = 0;
};

}  // namespace larkroad::coordination
