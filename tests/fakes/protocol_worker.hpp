/// A fake worker whose messages a test delivers one at a time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/json.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/http.hpp"

namespace larkroad::testing {

/// Models what the protocol says of commands: fencing tokens, incarnations, and that a launch of an
/// attempt that the worker holds in any state has no effect. Tasks run until they are told to exit.
/// It does not model time, images or capacity.
class ProtocolWorker {
 public:
  using Key = std::pair<protocol::TaskId, std::uint64_t>;  // the task and its attempt

  ProtocolWorker(std::string machine, std::string address)
      : machine_(std::move(machine)), address_(std::move(address)) {}

  /// The worker's next report, as the body of a heartbeat.
  std::string report() {
    protocol::Json tasks = protocol::Json::array();
    for (const auto& [key, cause] : tasks_) {
      protocol::Json task{{"leg", key.first.text()}, {"try", key.second}, {"stage", "running"}};
      if (!cause.empty()) {
        task["stage"] = "exited";
        task["cause"] = cause;
      }
      tasks.push_back(std::move(task));
    }
    return protocol::Json{{"perch", machine_},   {"address", address_},
                          {"breed", "small"},    {"yard", "east"},
                          {"loaners", false},    {"flight", incarnation_},
                          {"tick", ++sequence_}, {"baton", seen_token_},
                          {"recallS", nullptr},  {"legs", std::move(tasks)}}
        .dump();
  }

  /// Handles a direct call.
  transport::Response handle_call(const transport::Request& request) {
    if (request.method == "GET") return {200, report()};
    const auto call = protocol::Json::parse(request.body);
    const std::uint64_t token = call.at("baton");
    if (token < seen_token_ || call.at("flight") != incarnation_) return {409, report()};
    seen_token_ = token;
    execute(call.at("calls"));
    return {200, report()};
  }

  /// Handles the response to the heartbeat that it last sent.
  void handle_response(const std::string& body) {
    const auto response = protocol::Json::parse(body);
    const std::uint64_t token = response.at("baton");
    if (token < seen_token_) return;
    seen_token_ = token;
    execute(response.at("calls"));
  }

  /// Ends a running task; does nothing if it does not run.
  void exit(const Key& key, const std::string& cause) {
    const auto it = tasks_.find(key);
    if (it != tasks_.end() && it->second.empty()) it->second = cause;
  }

  /// Its lease expires: it ends and forgets all tasks, and begins its next incarnation.
  void expire_lease() {
    tasks_.clear();
    ++incarnation_;
  }

  /// Its process restarts as the same incarnation: it has no tasks, has seen no token, and counts
  /// its messages from the beginning.
  void restart_in_same_incarnation() {
    tasks_.clear();
    sequence_ = 0;
    seen_token_ = 0;
  }
  /// Its process has lost the highest token that it has seen.
  void lose_token() { seen_token_ = 0; }

  bool runs(const Key& key) const {
    const auto it = tasks_.find(key);
    return it != tasks_.end() && it->second.empty();
  }

 private:
  void execute(const protocol::Json& commands) {
    for (const auto& command : commands) {
      const std::string task = command.at("leg");
      const auto slash = task.rfind('/');
      const Key key{
          {task.substr(0, slash), static_cast<std::uint32_t>(std::stoul(task.substr(slash + 1)))},
          command.at("try").get<std::uint64_t>()};
      if (command.at("call") == "launch") {
        tasks_.try_emplace(key, "");
      } else if (command.at("call") == "kill") {
        exit(key, "stopped");
      } else if (!runs(key)) {
        tasks_.erase(key);
      }
    }
  }

  const std::string machine_;
  const std::string address_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t seen_token_ = 0;
  std::map<Key, std::string> tasks_;  // with the cause of the exit; empty while it runs
};

}  // namespace larkroad::testing
