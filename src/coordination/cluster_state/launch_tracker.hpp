/// The launches that one worker may still carry out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "protocol/worker_messages.hpp"

namespace larkroad::coordination {

/// Identifies one launch of a task: the task and its attempt.
using LaunchKey = std::pair<protocol::TaskId, std::uint64_t>;

/// Records the launches sent to one worker until the worker can no longer carry them out.
///
/// A launch reaches its worker by one of two routes, and the same attempt may be under way by both:
///
/// - A direct call may be carried out late, and copies of it later still, until the worker has seen
///   a higher fencing token.
/// - The response to a heartbeat is dropped by a worker that has seen a higher fencing token, or
///   that no longer waits for it, as its next heartbeat shows.
///
/// Each route is recorded by itself, since what ends one launch says nothing about the other. A new
/// agent incarnation of the worker ends all of them. No I/O; owned by `Machine`.
class LaunchTracker {
 public:
  /// A launch that can no longer be carried out, although its outcome was unknown until now.
  struct Resolved {
    LaunchKey launch;
    std::uint64_t fencing_token = 0;
  };

  /// Records a launch in a direct call that is about to be sent under this token. Replaces an
  /// earlier record of a call that was queued, but not sent yet.
  void add_call(const LaunchKey& launch, std::uint64_t fencing_token);
  /// Records a launch in the response to the heartbeat with this sequence number.
  void add_response(const LaunchKey& launch, std::uint64_t fencing_token, std::uint64_t sequence);
  /// Records that earlier leaders may have sent the launch, under this token at most.
  void add_inherited(const LaunchKey& launch, std::uint64_t fencing_token);

  /// Records that the call with the launch was dropped before it was sent.
  void call_dropped(const LaunchKey& launch);
  /// Records that the call has been answered, or was never sent: it will not be carried out later,
  /// but a copy of it may.
  void call_answered(const LaunchKey& launch);
  /// Records that the call has gone unanswered: it may be carried out later.
  void call_unanswered(const LaunchKey& launch);

  /// Drops the launches that the worker rejects, as it has seen this token; returns those whose
  /// outcome was unknown.
  std::vector<Resolved> worker_saw_token(std::uint64_t fencing_token);
  /// Drops the launches in responses to heartbeats before the one with this sequence number, which
  /// the worker itself has sent; returns them.
  std::vector<Resolved> worker_sent_heartbeat(std::uint64_t sequence);
  /// Drops all launches, as the worker's incarnation has ended.
  void clear() { launches_.clear(); }

  /// Whether the worker may still carry out the launch, although it has not reported the task.
  bool is_unresolved(const LaunchKey& launch) const;
  /// Whether a direct call with the launch awaits its reply.
  bool is_call_pending(const LaunchKey& launch) const;
  /// Whether the launch may be sent once more: no call with it awaits its reply, and the worker has
  /// sent a heartbeat since the last response with it.
  bool may_repeat(const LaunchKey& launch) const;
  /// The fencing token of the direct call with the launch, while its outcome is unknown.
  std::optional<std::uint64_t> unresolved_call_token(const LaunchKey& launch) const;
  /// Whether a copy of a direct call with the launch may still be carried out.
  bool may_have_copies(const LaunchKey& launch) const;
  /// Whether no launch is recorded.
  bool empty() const { return launches_.empty(); }

 private:
  enum class CallState { pending, unanswered, answered };
  struct DirectCall {
    std::uint64_t fencing_token = 0;
    CallState state = CallState::pending;
    bool is_unresolved() const { return state != CallState::answered; }
  };
  struct HeartbeatResponse {
    std::uint64_t fencing_token = 0;
    std::uint64_t sequence = 0;  // of the heartbeat that it answers
  };
  struct Launch {
    std::optional<DirectCall> call;
    std::optional<HeartbeatResponse> response;
  };

  const DirectCall* find_call(const LaunchKey& launch) const;
  void set_call_state(const LaunchKey& launch, CallState state);
  void erase_ended();

  std::map<LaunchKey, Launch> launches_;
};

}  // namespace larkroad::coordination
