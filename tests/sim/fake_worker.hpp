/// A fake machine with its worker process, which implements the published protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "protocol/job_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "sim/event_queue.hpp"
#include "sim/hosts.hpp"

namespace larkroad::sim {

using protocol::JobSpec;
using protocol::TaskId;

class World;

/// Models heartbeats, commands with fencing tokens, the worker's lease, image fetches, gangs whose
/// members wait for each other before they run, checkpoints when a task is stopped, spot reclaims,
/// hangs and restarts. A task runs for exactly its estimated time. It does not model disks, an
/// image cache, CPU contention or partial machine failures.
class FakeWorker : public std::enable_shared_from_this<FakeWorker> {
 public:
  enum class Stage { fetching, gathering, running, saving, exited };
  struct Task {
    Stage stage = Stage::fetching;
    std::string exit_cause;
    bool checkpointed = false;
    /// Whether the invariant checker counts the task as running on this machine.
    bool counted = false;
    /// Unique per launch, so that a timer set for an earlier launch of the same attempt does not
    /// act on a later one.
    std::uint64_t launch_number = 0;
  };
  /// Task ID and attempt number.
  using Key = std::pair<TaskId, std::uint64_t>;

  FakeWorker(World& world, std::string machine, std::string network_address,
             std::string machine_type, std::string its_zone, bool is_spot);

  /// Called when the machine has booted. Until then it answers nobody.
  void start();
  bool is_up() const { return up_ && !terminated; }
  void handle(const Request& request, const Respond& respond);
  /// Terminates the machine and everything on it.
  void terminate();
  /// Restarts the worker immediately at the same address, as a new incarnation without tasks.
  void restart();
  /// Restarts it without tasks, but in the same incarnation: it has seen no fencing token and
  /// counts its messages from the beginning.
  void restart_in_same_incarnation();
  /// The cloud announces that it will reclaim this spot instance after `notice`.
  void reclaim_in(Seconds notice);
  /// From now on every task fails when it starts.
  void set_faulty() { faulty_ = true; }
  /// Stops processing for `length`; messages that arrive meanwhile are handled afterwards.
  void hang(Seconds length);
  /// Ends a task on this machine with an exit cause as defined by the protocol.
  void exit(const Key& key, const std::string& cause, bool checkpointed = false);
  /// Runs a task whose gang is complete or that belongs to no gang.
  void run(const Key& key);

  bool is_running(const std::string& job) const;
  /// Whether a task of the job is on this machine and has not exited.
  bool has_live_task(const std::string& job) const;
  /// Whether new tasks should not be placed here: tasks fail at start, or a reclaim is announced.
  bool is_unusable() const { return faulty_ || reclaim_at_; }
  const std::map<Key, Task>& tasks() const { return tasks_; }

  const std::string name, address, type, zone;
  const bool spot;
  bool terminated = false;

 private:
  Json heartbeat();
  void send_heartbeat();
  /// Sends a heartbeat as soon as the minimum interval between heartbeats allows.
  void report_change();
  /// Returns the delay until the next heartbeat.
  Seconds on_heartbeat_reply(Seconds sent, std::uint64_t incarnation, Outcome outcome,
                             const Response& response);
  void on_heartbeat_accepted(Seconds sent, std::uint64_t incarnation, const Json& answer);
  Seconds on_redirect(const Response& response);
  Seconds try_next_controller();
  void execute(const Json& commands);
  void launch(const TaskId& id, std::uint64_t attempt);
  /// The exit cause if the launch fails immediately.
  std::optional<std::string> launch_error(const TaskId& id) const;
  void stop(const Key& key, double grace_period);
  void on_image_fetched(const Key& key);
  void gather(const Key& key);
  /// Runs the action at `when` if the task is then still in the same launch and in `stage`.
  void schedule_for_task(Seconds when, const Key& key, Stage stage, std::function<void()> action);
  Task* find_task(const Key& key, std::uint64_t launch_number, Stage stage);
  void check_lease();
  void end_expired_lease();
  void begin_incarnation();
  void end_all_tasks();
  bool is_hung() const;
  /// Runs the action now or, if the machine hangs, as soon as it responds again.
  void when_responsive(std::function<void()> action);

  World& world_;
  std::map<Key, Task> tasks_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t process_ = 1;  // of the worker; replies to an earlier one are lost
  std::uint64_t fencing_token_ = 0;
  /// Send time of the latest heartbeat that has been answered.
  Seconds lease_renewed_at_ = 0;
  std::optional<Seconds> last_heartbeat_at_;
  std::optional<Seconds> reclaim_at_;
  EventQueue::EventId next_heartbeat_ = 0;
  bool heartbeat_in_flight_ = false;
  bool changed_since_heartbeat_ = false;
  bool up_ = false;
  bool faulty_ = false;
  Seconds hung_until_ = 0;
  size_t controller_ = 0;  // index of the controller that receives the heartbeats
  std::uint64_t launches_ = 0;
};

}  // namespace larkroad::sim
