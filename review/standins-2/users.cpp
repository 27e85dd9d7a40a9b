#include "users.hpp"

namespace standin {
namespace {

constexpr Seconds kSubmitTimeout = 5;
constexpr Seconds kAskTimeout = 2;
constexpr Seconds kSubmitFor = 60;
constexpr Seconds kPollEvery = 5;

std::string told(Outcome outcome, const Response& response) {
  if (outcome != Outcome::answered) return "no answer";
  return std::to_string(response.status) + " " + response.body;
}

}  // namespace

void Users::submit(const Json& submission) {
  book_.submissions[submission.at("ref")] = submission;
  bench_.record("user: submits " + submission.dump());
  try_submit(submission, bench_.now());
}

void Users::try_submit(const Json& submission, Seconds since) {
  const std::string node = next_node();
  const std::string job = submission.at("ref");
  bench_.client.call(
      node, {"POST", "/v2/runs", submission.dump()}, kSubmitTimeout,
      [this, submission, since, job](Outcome outcome, const Response& response) {
        const bool answered = outcome == Outcome::answered;
        if (answered && (response.status == 200 || response.status == 201)) {
          bench_.record("user: submission of " + job + " -> " + told(outcome, response));
          accepted_[job] = bench_.now();
          poll(job);
        } else if (answered && (response.status == 400 || response.status == 422)) {
          bench_.record("user: submission of " + job + " -> " + told(outcome, response));
        } else if (bench_.now() - since < kSubmitFor) {
          const Seconds wait = std::max(1, answered ? response.retry_after_s : 0);
          bench_.after(wait, [this, submission, since] { try_submit(submission, since); });
        }
      });
}

void Users::poll(const std::string& job) {
  ask(job, [this, job](int status, const Json& answer) {
    const std::string stage = status == 200 ? answer.value("stage", "") : "";
    const std::string shown = status == 200 ? stage : std::to_string(status);
    if (shown != last_state_[job]) bench_.record("user: poll of " + job + " -> " + shown);
    if (!shown.empty()) last_state_[job] = shown;
    if (stage == "done" || stage == "withdrawn") return;
    bench_.after(kPollEvery, [this, job] { poll(job); });
  });
}

void Users::ask(const std::string& job, OnAnswer on_answer, int node) {
  const std::string address = node < 0 ? next_node() : nodes_.at(static_cast<std::size_t>(node));
  bench_.client.call(address, {"GET", "/v2/runs/" + job, ""}, kAskTimeout,
                     [on_answer = std::move(on_answer)](Outcome outcome, const Response& response) {
                       if (outcome != Outcome::answered) {
                         on_answer(0, {});
                         return;
                       }
                       const Json answer = Json::parse(response.body, nullptr, false);
                       on_answer(response.status, answer.is_object() ? answer : Json::object());
                     });
}

void Users::cancel(const std::string& job) {
  bench_.client.call(next_node(), {"POST", "/v2/runs/" + job + "/cancel", ""}, kSubmitTimeout,
                     [this, job](Outcome outcome, const Response& response) {
                       bench_.record("user: cancel of " + job + " -> " + told(outcome, response));
                       if (outcome == Outcome::answered && response.status == 200) {
                         cancelled_[job] = bench_.now();
                         return;
                       }
                       bench_.after(1, [this, job] { cancel(job); });
                     });
}

Seconds Users::cancelled_at(const std::string& job) const {
  const auto it = cancelled_.find(job);
  return it == cancelled_.end() ? -1 : it->second;
}

std::string Users::last_state(const std::string& job) const {
  const auto it = last_state_.find(job);
  return it == last_state_.end() ? "" : it->second;
}

}  // namespace standin
