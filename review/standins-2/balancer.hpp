/// A stand-in for the load balancer, as the protocol page describes it.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "bench.hpp"

namespace standin {

class Balancer {
 public:
  Balancer(Bench& bench, std::vector<std::string> nodes);

  /// Opens a user's connection to a healthy node, of which it returns the index; -1: none.
  int open();
  void close(int node) { --nodes_.at(static_cast<std::size_t>(node)).open; }
  bool is_healthy(int node) const { return nodes_.at(static_cast<std::size_t>(node)).healthy; }
  const std::string& address(int node) const {
    return nodes_.at(static_cast<std::size_t>(node)).address;
  }
  /// Whether open connections of the node are reset: it has been unhealthy for 5 s.
  bool is_reset(int node) const;

 private:
  struct Node {
    std::string address;
    bool healthy = false, ever_healthy = false;
    Seconds healthy_since = 0, unhealthy_since = 0;
    int failures = 0, successes = 0;  // consecutive
    std::deque<bool> last;            // six probes
    int open = 0;
  };
  void probe(Node& node);
  void handle_probe(Node& node, bool answered);

  Bench& bench_;
  std::vector<Node> nodes_;
};

/// A user with one job, who keeps a connection for as long as it answers.
class JobUser {
 public:
  JobUser(Bench& bench, Balancer& balancer, Json submission)
      : bench_(bench),
        balancer_(balancer),
        submission_(std::move(submission)),
        job_(submission_.at("ref")) {}

  /// Submits, and then asks every 5 s until the job is over.
  void start() { submit(); }

  const std::string& job() const { return job_; }
  bool is_accepted() const { return accepted_at >= 0; }
  /// When the job was accepted, and when a question about it was last answered; -1: never.
  Seconds accepted_at = -1, answered_at = -1;
  int asked = 0, answered = 0;

 private:
  using OnAnswer = std::function<void(Outcome, const Response&)>;
  void call(Request request, Seconds timeout, OnAnswer on_answer);
  void submit();
  void ask();

  Bench& bench_;
  Balancer& balancer_;
  Json submission_;
  std::string job_;
  int node_ = -1, last_node_ = -1;
  Seconds submitted_since_ = -1;
};

}  // namespace standin
