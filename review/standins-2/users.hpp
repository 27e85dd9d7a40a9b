/// A stand-in for users: they submit, ask and cancel, and repeat as the protocol page says.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bench.hpp"
#include "worker.hpp"

namespace standin {

class Users {
 public:
  Users(Bench& bench, JobBook& book, std::vector<std::string> nodes)
      : bench_(bench), book_(book), nodes_(std::move(nodes)) {}

  /// Submits until it is accepted or 60 s are over; then asks about it every 5 s.
  void submit(const Json& submission);
  /// Cancels until one of the answers that the page names has come.
  void cancel(const std::string& job);
  /// Asks once at a node, or at the next one.
  using OnAnswer = std::function<void(int status, const Json& answer)>;
  void ask(const std::string& job, OnAnswer on_answer, int node = -1);

  bool is_accepted(const std::string& job) const { return accepted_.contains(job); }
  /// When the user was told so; -1: not yet.
  Seconds cancelled_at(const std::string& job) const;
  /// The last state that a poll gave; empty if there was none.
  std::string last_state(const std::string& job) const;

 private:
  std::string next_node() { return nodes_[next_node_++ % nodes_.size()]; }
  void try_submit(const Json& submission, Seconds since);
  void poll(const std::string& job);

  Bench& bench_;
  JobBook& book_;
  std::vector<std::string> nodes_;
  std::size_t next_node_ = 0;
  std::map<std::string, Seconds> accepted_, cancelled_;
  std::map<std::string, std::string> last_state_;
};

}  // namespace standin
