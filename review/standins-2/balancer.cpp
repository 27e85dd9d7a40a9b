#include "balancer.hpp"

#include <algorithm>

namespace standin {
namespace {

constexpr Seconds kProbePeriod = 1;
constexpr Seconds kProbeTimeout = 1;
constexpr Seconds kMinUnhealthy = 3;
constexpr Seconds kRamp = 10;
constexpr Seconds kResetAfter = 5;
constexpr Seconds kSubmitTimeout = 5;
constexpr Seconds kAskTimeout = 2;
constexpr Seconds kAskPeriod = 5;

}  // namespace

Balancer::Balancer(Bench& bench, std::vector<std::string> nodes) : bench_(bench) {
  for (auto& address : nodes) nodes_.push_back({std::move(address)});
  bench_.every(kProbePeriod, [this] {
    for (Node& node : nodes_) probe(node);
  });
  for (Node& node : nodes_) probe(node);
}

void Balancer::probe(Node& node) {
  bench_.client.call(node.address, {"GET", "/healthz", ""}, kProbeTimeout,
                     [this, &node](Outcome outcome, const Response& response) {
                       handle_probe(node, outcome == Outcome::answered && response.status == 200);
                     });
}

void Balancer::handle_probe(Node& node, bool answered) {
  node.successes = answered ? node.successes + 1 : 0;
  node.failures = answered ? 0 : node.failures + 1;
  node.last.push_back(answered);
  if (node.last.size() > 6) node.last.pop_front();
  const Seconds now = bench_.now();
  if (node.healthy) {
    const auto failed = std::count(node.last.begin(), node.last.end(), false);
    if (node.failures < 2 && failed < 3) return;
    node.healthy = false;
    node.unhealthy_since = now;
    bench_.record("balancer: " + node.address + " is unhealthy");
    return;
  }
  const int needed = node.ever_healthy ? 2 : 1;
  if (node.successes < needed) return;
  if (node.ever_healthy && now - node.unhealthy_since < kMinUnhealthy) return;
  node.healthy_since = node.ever_healthy ? now : now - kRamp;
  node.healthy = node.ever_healthy = true;
  node.last.clear();
  bench_.record("balancer: " + node.address + " is healthy");
}

int Balancer::open() {
  int best = -1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    if (!node.healthy) continue;
    // The share of a node that has become healthy is raised over 10 s.
    if (bench_.random() * kRamp > bench_.now() - node.healthy_since) continue;
    if (best < 0 || node.open < nodes_[static_cast<std::size_t>(best)].open) {
      best = static_cast<int>(i);
    }
  }
  if (best >= 0) ++nodes_[static_cast<std::size_t>(best)].open;
  return best;
}

bool Balancer::is_reset(int node) const {
  const Node& asked = nodes_.at(static_cast<std::size_t>(node));
  return !asked.healthy && bench_.now() - asked.unhealthy_since > kResetAfter;
}

void JobUser::call(Request request, Seconds timeout, OnAnswer on_answer) {
  if (node_ >= 0 && balancer_.is_reset(node_)) {
    balancer_.close(node_);
    node_ = -1;
  }
  if (node_ < 0) node_ = balancer_.open();
  if (node_ < 0) {
    last_node_ = -1;
    bench_.after(0.1, [on_answer] { on_answer(Outcome::not_sent, {}); });
    return;
  }
  bench_.client.call(balancer_.address(node_), std::move(request), timeout,
                     [this, on_answer, node = node_](Outcome outcome, const Response& response) {
                       last_node_ = node;
                       // Without an answer the connection is of no more use.
                       if (outcome != Outcome::answered && node_ >= 0) {
                         balancer_.close(node_);
                         node_ = -1;
                       }
                       on_answer(outcome, response);
                     });
}

void JobUser::submit() {
  if (submitted_since_ < 0) submitted_since_ = bench_.now();
  call({"POST", "/v2/runs", submission_.dump()}, kSubmitTimeout,
       [this](Outcome outcome, const Response& response) {
         const std::string told = outcome == Outcome::answered
                                      ? std::to_string(response.status) + " " + response.body
                                      : "no answer";
         bench_.record("user of " + job_ + ": submission at perch-" + std::to_string(last_node_) +
                       " -> " + told);
         if (outcome == Outcome::answered && (response.status == 200 || response.status == 201)) {
           accepted_at = bench_.now();
           bench_.after(kAskPeriod, [this] { ask(); });
         } else if (bench_.now() - submitted_since_ < 60) {
           bench_.after(1, [this] { submit(); });
         }
       });
}

void JobUser::ask() {
  ++asked;
  call({"GET", "/v2/runs/" + job_, ""}, kAskTimeout,
       [this, at = bench_.now()](Outcome outcome, const Response& response) {
         const bool good = outcome == Outcome::answered &&
                           (response.status == 200 || response.status == 404);
         bench_.record("user of " + job_ + ": question at perch-" +
                       std::to_string(last_node_) + " -> " +
                       (outcome == Outcome::answered
                            ? std::to_string(response.status) + " " + response.body
                            : "no answer within 2 s"));
         if (good) {
           ++answered;
           answered_at = bench_.now();
         }
         bench_.after(std::max(0.1, kAskPeriod - (bench_.now() - at)), [this] { ask(); });
       });
}

}  // namespace standin
