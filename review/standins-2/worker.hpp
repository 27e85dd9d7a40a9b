/// A stand-in for a machine with its worker, as the protocol page describes it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bench.hpp"

namespace standin {

/// What the users uploaded about their jobs, which the workers read, and which tasks have completed.
struct JobBook {
  std::map<std::string, Json> submissions;
  std::map<std::string, Seconds> run_times;  // of one task; none: until it is stopped
  std::set<std::string> completed;           // tasks whose result is kept
  /// Where tasks are at present: task -> machines that have started it and not ended it.
  std::map<std::string, std::set<std::string>> on_machines;
  std::vector<std::string> starts;   // "task try machine", in order
  /// The members of gangs that wait or run, by job and attempt: task -> what ends or runs it there.
  struct Member {
    std::function<void()> run;
    std::function<void(const std::string& cause)> exit;
  };
  std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, Member>> gangs;
  std::set<std::pair<std::string, std::uint64_t>> running_gangs;
  std::vector<std::string> ran_twice;  // what broke the rule of that name
};

struct WorkerSettings {
  Seconds report_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0;
  std::vector<std::pair<std::string, std::string>> controllers;  // member, address for workers
  JobBook* book = nullptr;
};

struct WorkerMachine {
  std::string name, type, zone;
  bool spot = false;
  double cpus = 0, gpus = 0, memory_gb = 0, fetch_gb_per_s = 0;
};

class Worker {
 public:
  Worker(Bench& bench, const WorkerSettings& settings, WorkerMachine machine);
  ~Worker();

  const std::string& name() const { return machine_.name; }
  const WorkerMachine& machine() const { return machine_; }
  std::string address() const { return loopback(port_); }
  bool is_up() const { return up_; }

  /// The machine has booted.
  void start();
  /// Ends the machine and everything on it.
  void power_off();
  /// A task on it ends by itself.
  void end_task(const std::string& task, const std::string& cause);
  /// Whether the task is on the machine and has its image.
  bool has(const std::string& task) const;
  /// What tasks on the machine take: CPUs and memory.
  std::pair<double, double> used() const;
  /// The session, the token and the tasks, for the record.
  std::string state() const;

  /// Its reports arrive; answers and direct commands to it are lost.
  bool deaf = false;
  /// It reaches no controller, while direct commands reach it.
  bool mute = false;

 private:
  struct Task {
    std::string stage, cause;
    bool saved = false;
    std::uint64_t launch = 0;
  };
  using Key = std::pair<std::string, std::uint64_t>;  // task, attempt

  static std::string job_of(const std::string& task) { return task.substr(0, task.rfind('/')); }
  Json report();
  void send_report();
  void report_soon();
  void schedule_report(Seconds delay);
  Seconds handle_answer(Seconds sent, std::uint64_t session, Outcome outcome,
                        const Response& response);
  void handle_call(const Request& request, const Respond& respond);
  void execute(const Json& calls);
  void launch(const Key& key);
  std::string refusal(const std::string& task) const;
  void fetched(const Key& key);
  void run(const Key& key);
  bool is_in_gang(const std::string& task) const;
  void gather(const Key& key);
  /// The task is no longer a member of its gang; the others notice if the gang runs.
  void leave_gang(const Key& key, bool done);
  void complete(const Key& key);
  void kill(const Key& key, double slack);
  void exit(const Key& key, const std::string& cause, bool saved = false);
  void check_lease();
  void drop_all();
  void left(const std::string& task);
  void later(Seconds delay, std::function<void()> action);
  void later_for(const Key& key, Seconds delay, std::function<void()> action);

  Bench& bench_;
  const WorkerSettings settings_;
  WorkerMachine machine_;
  unsigned short port_;
  std::unique_ptr<larkroad::transport::HttpServer> server_;
  std::map<Key, Task> tasks_;
  std::map<std::string, Seconds> images_;  // when the image is there
  bool up_ = false;
  std::uint64_t session_ = 1, tick_ = 0, token_ = 0, launches_ = 0, report_number_ = 0;
  Seconds lease_from_ = 0, last_report_ = -10;
  std::size_t controller_ = 0;
  bool in_flight_ = false, changed_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace standin
