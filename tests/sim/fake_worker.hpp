/// A stand-in for one machine with its worker, written to the published protocol.
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

/// Models heartbeats, commands with fencing tokens, the worker's own lease, image fetches, gangs
/// that gather before they run, checkpoints on a stop, spot reclaims, hangs and restarts. A task
/// takes exactly its estimated time. It does not model disks, an image cache, CPU contention or
/// partial failures of a machine.
class FakeWorker : public std::enable_shared_from_this<FakeWorker> {
 public:
  enum class Stage { fetching, gathering, running, saving, exited };
  struct Task {
    Stage stage = Stage::fetching;
    std::string exit_cause;
    bool checkpointed = false;
    /// The checker counts it as on this machine.
    bool counted = false;
    /// Differs between two launches of one attempt, so that a timer of the first does not act on
    /// the second.
    std::uint64_t launch_number = 0;
  };
  /// A task and its attempt.
  using Key = std::pair<TaskId, std::uint64_t>;

  FakeWorker(World& world, std::string machine, std::string network_address,
             std::string machine_type, std::string its_zone, bool is_spot);

  /// The machine has booted.
  void start();
  void handle(const Request& request, const Respond& respond);
  /// The machine is gone, and everything on it.
  void terminate();
  /// The worker is back at once at the same address, as a new incarnation without tasks.
  void restart();
  /// The cloud announces that it takes this spot instance back.
  void reclaim_in(Seconds notice);
  /// From now on every task fails at its start.
  void set_faulty() { faulty_ = true; }
  /// Does nothing for so long; what arrives meanwhile is handled afterwards.
  void hang(Seconds length);
  /// Ends a task that is here, with the exit cause of the protocol.
  void exit(const Key& key, const std::string& cause, bool checkpointed = false);
  /// A task that has gathered or needs no gang begins to run.
  void run(const Key& key);

  bool is_running(const std::string& job) const;
  /// Has a task of the job that has not exited.
  bool has_live_task(const std::string& job) const;
  /// Takes no new work: it fails whatever starts, or is to be reclaimed.
  bool is_unusable() const { return faulty_ || reclaimed_at_; }
  const std::map<Key, Task>& tasks() const { return tasks_; }

  const std::string name, address, type, zone;
  const bool spot;
  bool terminated = false;

 private:
  Json heartbeat();
  void send_heartbeat();
  /// Something to report: sends a heartbeat soon, without exceeding the highest rate.
  void report_change();
  /// Returns when to send the next heartbeat.
  Seconds on_heartbeat_reply(Seconds sent, std::uint64_t incarnation, Outcome outcome,
                             const Response& response);
  void on_heartbeat_accepted(Seconds sent, std::uint64_t incarnation, const Json& answer);
  Seconds on_redirect(const Response& response);
  Seconds try_next_controller();
  void execute(const Json& commands);
  void launch(const TaskId& id, std::uint64_t attempt);
  /// Why a launch fails at once, if it does.
  std::optional<std::string> launch_error(const TaskId& id) const;
  void stop(const Key& key, double grace_period);
  void on_image_fetched(const Key& key);
  void gather(const Key& key);
  /// Acts at that time, on the task as it is then, if it is still in this launch and stage.
  void schedule_for_task(Seconds when, const Key& key, Stage stage, std::function<void()> action);
  Task* find_task(const Key& key, std::uint64_t launch_number, Stage stage);
  void check_lease();
  void end_expired_lease();
  void begin_incarnation();
  void end_all_tasks();
  bool is_hung() const;
  /// Acts now, or when the machine no longer hangs.
  void when_awake(std::function<void()> action);

  World& world_;
  std::map<Key, Task> tasks_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t fencing_token_ = 0;
  /// When the latest heartbeat was sent that has been answered.
  Seconds lease_renewed_at_ = 0;
  std::optional<Seconds> last_heartbeat_at_;
  std::optional<Seconds> reclaimed_at_;
  EventQueue::EventId next_heartbeat_ = 0;
  bool heartbeat_in_flight_ = false;
  bool changed_since_heartbeat_ = false;
  bool faulty_ = false;
  Seconds hung_until_ = 0;
  size_t controller_ = 0;  // that its heartbeats go to
  std::uint64_t launches_ = 0;
};

}  // namespace larkroad::sim
