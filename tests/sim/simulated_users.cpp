#include "sim/simulated_users.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "sim/world.hpp"

namespace larkroad::sim {
namespace {

constexpr const char* kWirePriorities[] = {"prod", "urgent", "normal", "best_effort"};

constexpr Seconds kCallTimeout = 5;
constexpr Seconds kPollTimeout = 2;
constexpr Seconds kPollInterval = 5;
constexpr Seconds kRetryInterval = 1;
constexpr Seconds kIrregularInterval = 2;
constexpr int kRetries = 60;
constexpr int kNoRetries = 0;
constexpr int kFirstRandomJob = 1000;
constexpr int kFirstInvalidJob = 800000;
constexpr int kFirstUnknownJob = 900000;

std::string job_id(int number) { return "job-" + std::to_string(number); }

const char* wire_shape(protocol::Shape shape) {
  if (shape == protocol::Shape::service) return "service";
  return shape == protocol::Shape::gang ? "gang" : "sweep";
}

std::string stage_in(const Response& response) {
  if (response.status != 200 && response.status != 201) return "";
  return Json::parse(response.body).value("stage", "");
}

bool is_final(const std::string& stage) { return stage == "done" || stage == "withdrawn"; }

}  // namespace

std::string submission_body(const JobSpec& spec) {
  Json out{{"ref", spec.id},
           {"lane", spec.job_class},
           {"crew", spec.team},
           {"shape", wire_shape(spec.shape)},
           {"rank", kWirePriorities[static_cast<int>(spec.priority)]},
           {"legs", spec.tasks},
           {"cores", spec.cpus},
           {"accelerators", spec.gpus},
           {"memGb", spec.memory_gb},
           {"cargo", spec.image},
           {"pullGb", spec.image_gb},
           {"samePlace", spec.one_zone},
           {"apart", spec.spread},
           {"loaners", spec.spot},
           {"expectS", spec.estimate_s},
           {"waypointS", spec.checkpoint_s},
           {"stowS", spec.save_s}};
  if (spec.zone) out["yard"] = *spec.zone;
  return out.dump();
}

const JobSpec* SimulatedUsers::spec(const std::string& id) const {
  const auto it = submitted_.find(id);
  return it == submitted_.end() ? nullptr : &it->second;
}

std::string SimulatedUsers::unfinished_jobs() const {
  std::string out;
  for (const auto& [id, stage] : stages_) {
    if (!is_final(stage)) out.append(id).append(" (").append(stage).append(") ");
  }
  return out;
}

void SimulatedUsers::send(Request request, Seconds timeout, OnReply on_reply) {
  const auto controller = static_cast<size_t>(world_.random_fraction() * kControllers);
  world_.network.send(kUsersHost, controller_address(controller) + kClientPort, std::move(request),
                      timeout, std::move(on_reply), std::make_shared<bool>(true));
}

// ---------------------------------------------------------------- submissions

JobSpec SimulatedUsers::random_job() {
  const auto chance = [this](double probability) { return world_.random_fraction() < probability; };
  JobSpec spec = testing::spec(job_id(kFirstRandomJob + next_job_++));
  spec.team = chance(0.5) ? "red" : "blue";
  spec.cpus = 1 + std::floor(world_.random_fraction() * 4);
  spec.tasks = chance(0.6) ? 1 : 1 + static_cast<std::uint32_t>(world_.random_fraction() * 8);
  spec.shape = chance(0.3) ? protocol::Shape::gang : protocol::Shape::array;
  spec.priority = chance(0.3) ? protocol::Priority::high : protocol::Priority::normal;
  spec.spot = chance(0.5);
  spec.one_zone = chance(0.3);
  spec.spread = !spec.one_zone && chance(0.2);
  spec.estimate_s = 4 + world_.random_fraction() * 20;
  spec.checkpoint_s = chance(0.5) ? 5 : 0;
  spec.save_s = 1;
  if (chance(0.2)) spec.zone = "west";
  if (spec.is_gang()) spec.tasks = std::min(spec.tasks, 4u);
  if (spec.is_gang() && spec.zone) spec.spread = false;
  return spec;
}

void SimulatedUsers::submit_random_jobs(int jobs, Seconds period) {
  for (int i = 0; i < jobs; ++i) {
    const JobSpec spec = random_job();
    const Seconds when = world_.events.now() + world_.random_fraction() * period;
    submit(spec, when);
    if (world_.random_fraction() >= world_.faults.cancelled_jobs) continue;
    world_.events.schedule_at(when + world_.random_fraction() * 30,
                              [this, id = spec.id] { cancel(id); });
  }
}

void SimulatedUsers::submit(const JobSpec& spec, Seconds when) {
  submitted_[spec.id] = spec;
  world_.events.schedule_at(when, [this, spec] {
    world_.invariants.job_submitted(spec, world_.events.now());
    send_submission(spec, kRetries);
  });
}

void SimulatedUsers::send_submission(const JobSpec& spec, int retries_left) {
  send({"POST", "/v2/runs", submission_body(spec)}, kCallTimeout,
       [this, spec, retries_left, requested_at = world_.events.now()](Outcome outcome,
                                                                      const Response& response) {
         const Seconds now = world_.events.now();
         const bool answered = outcome == Outcome::answered;
         if (answered) {
           world_.invariants.submission_answered(now, spec.id, response.status, stage_in(response),
                                                 requested_at);
         }
         if (answered && (response.status == 200 || response.status == 201)) {
           stages_[spec.id] = stage_in(response);
           world_.events.schedule_at(now + kPollInterval, [this, id = spec.id] { poll(id); });
           // A submission may be repeated at any later time.
           if (world_.random_fraction() < 0.1) {
             world_.events.schedule_at(now + 60 * world_.random_fraction(),
                                       [this, spec] { send_submission(spec, kNoRetries); });
           }
         } else if (retries_left > 0) {
           world_.events.schedule_at(now + kRetryInterval, [this, spec, retries_left] {
             send_submission(spec, retries_left - 1);
           });
         }
       });
}

// ---------------------------------------------------------------- queries

void SimulatedUsers::poll(const std::string& id) {
  world_.invariants.status_requested(world_.events.now(), id);
  send({"GET", "/v2/runs/" + id, ""}, kPollTimeout,
       [this, id, requested_at = world_.events.now()](Outcome outcome, const Response& response) {
         if (outcome == Outcome::answered) {
           world_.invariants.status_answered(world_.events.now(), id, response.status,
                                             stage_in(response), requested_at);
           if (response.status == 200) stages_[id] = stage_in(response);
         }
         schedule_next_poll(id);
       });
  if (world_.random_fraction() < 0.02) query_unknown_job();
}

void SimulatedUsers::schedule_next_poll(const std::string& id) {
  // Users sometimes keep polling after the job has ended.
  if (is_final(stages_[id]) && world_.random_fraction() >= 0.8) {
    world_.invariants.polling_stopped(id);
    return;
  }
  world_.events.schedule_at(world_.events.now() + kPollInterval / world_.faults.status_query_rate,
                            [this, id] { poll(id); });
}

void SimulatedUsers::query_unknown_job() {
  const std::string id = job_id(kFirstUnknownJob + static_cast<int>(world_.random_fraction() * 9));
  send({"GET", "/v2/runs/" + id, ""}, kPollTimeout,
       [this, id](Outcome outcome, const Response& response) {
         if (outcome != Outcome::answered) return;
         world_.invariants.status_answered(world_.events.now(), id, response.status,
                                           stage_in(response));
       });
}

// ---------------------------------------------------------------- cancellations

void SimulatedUsers::cancel(const std::string& id) {
  world_.invariants.cancellation_requested(id);
  send_cancellation(id, kRetries);
}

void SimulatedUsers::send_cancellation(const std::string& id, int retries_left) {
  send({"POST", "/v2/runs/" + id + "/cancel", ""}, kCallTimeout,
       [this, id, retries_left](Outcome outcome, const Response& response) {
         if (outcome == Outcome::answered && response.status == 200) {
           world_.invariants.status_answered(world_.events.now(), id, 200, stage_in(response));
           stages_[id] = stage_in(response);
         } else if (retries_left > 0) {
           world_.events.schedule_at(
               world_.events.now() + kRetryInterval,
               [this, id, retries_left] { send_cancellation(id, retries_left - 1); });
         }
       });
}

void SimulatedUsers::cancel_running_jobs(int count, Seconds hang) {
  std::vector<std::string> running;
  for (const auto& submission : submitted_) {
    const std::string& id = submission.first;
    if (std::any_of(world_.workers.begin(), world_.workers.end(), [&](const auto& worker) {
          return !worker->terminated && worker->is_running(id);
        })) {
      running.push_back(id);
    }
  }
  std::shuffle(running.begin(), running.end(), world_.random);
  running.resize(std::min<size_t>(running.size(), static_cast<size_t>(count)));
  for (const auto& id : running) {
    world_.invariants.cancellation_requested(id);
    world_.events.schedule_at(world_.events.now() + 0.2 * world_.random_fraction(),
                              [this, id = id] { send_cancellation(id, kRetries); });
    if (hang <= 0) continue;
    for (const auto& worker : world_.workers) {
      if (!worker->terminated && worker->is_running(id)) worker->hang(hang);
    }
  }
}

// ---------------------------------------------------------------- irregular requests

void SimulatedUsers::send_irregular_requests(Seconds period) {
  for (Seconds delay = 0; delay < period; delay += kIrregularInterval) {
    world_.events.schedule_at(world_.events.now() + delay, [this] { send_irregular_request(); });
  }
}

void SimulatedUsers::send_irregular_request() {
  enum Kind { too_large, lacks_a_field, repeated_submission, late_cancellation };
  JobSpec invalid = testing::spec(job_id(kFirstInvalidJob + next_job_++));
  const int kind = static_cast<int>(world_.random_fraction() * 4);
  if (kind == too_large) {
    invalid.cpus = 1000;
    world_.invariants.invalid_job_submitted(invalid.id);
    send_invalid_submission(submission_body(invalid), 422, invalid.id);
  } else if (kind == lacks_a_field) {
    Json json = Json::parse(submission_body(invalid));
    json.erase(world_.random_fraction() < 0.5 ? "crew" : "cores");
    world_.invariants.invalid_job_submitted(invalid.id);
    send_invalid_submission(json.dump(), 400, invalid.id);
  } else {
    repeat_request_at_random(kind == repeated_submission);
  }
}

void SimulatedUsers::send_invalid_submission(const std::string& body, int expected,
                                             const std::string& id) {
  send({"POST", "/v2/runs", body}, kCallTimeout,
       [this, expected, id](Outcome outcome, const Response& response) {
         if (outcome != Outcome::answered) return;
         world_.invariants.submission_answered(world_.events.now(), id, response.status, "");
         // If the controller cannot decide yet, it responds 503 with a retry delay.
         const bool retry_later = response.status == 503 && response.retry_after_s > 0;
         EXPECT_TRUE(response.status == expected || retry_later) << response.status << " " << id;
       });
}

void SimulatedUsers::repeat_request_at_random(bool submission) {
  for (const auto& [id, stage] : stages_) {
    if (world_.random_fraction() > 0.2) continue;
    if (submission) {
      send_submission(submitted_.at(id), kNoRetries);
    } else if (stage == "done") {
      send_cancellation(id, kNoRetries);
    }
  }
}

}  // namespace larkroad::sim
