#include "coordination/api/user_api.hpp"

#include <algorithm>

#include "coordination/cluster_state/cluster_state.hpp"
#include "log.hpp"
#include "protocol/user_routes.hpp"

namespace larkroad::coordination {
namespace {

using protocol::JobState;
using storage::Status;

// Users give up on an answer after 5 s (2 s for a query) and come back; well before that they are
// told to.
constexpr Seconds kAnswerWithin = 1.5;
// When to come back if the state service cannot be asked.
constexpr int kRetryAfter = 1;
constexpr size_t kFinishedKept = 20'000;

}  // namespace

std::string never_runnable(const protocol::JobSpec& spec, const Settings& settings,
                           const std::vector<protocol::MachineType>& types) {
  const TeamSettings* team = settings.team(spec.team);
  if (team == nullptr) return "unknown team";
  std::set<std::string> zones;
  for (const auto& type : types) {
    for (const auto& zone : type.zones) {
      if (allows(spec, type, zone, false)) zones.insert(zone);
    }
  }
  if (zones.empty()) return "a task fits no allowed machine type";
  const bool all_at_once = spec.is_gang() || spec.is_service();
  const std::uint32_t together = all_at_once ? spec.tasks : 1;
  const Resources limit{team->cpus_max, team->gpus_max, kNoLimit};
  if (limit.times({spec.cpus, spec.gpus, 0}) < together) {
    return "the job needs more than its team's limit";
  }
  if (all_at_once && spec.spread && spec.tasks > 1 && zones.size() < 2) {
    return "the tasks cannot be spread over zones";
  }
  return "";
}

void UserApi::handle(transport::Request request, Respond respond) {
  const auto target = protocol::route_user_call(request.method, request.target);
  if (target.call == protocol::UserCall::none) {
    respond({404, protocol::encode_error("no such path"), 0});
    return;
  }
  if (target.wrong_method) {
    respond({405, protocol::encode_error("no such method here"), 0});
    return;
  }
  switch (target.call) {
    case protocol::UserCall::health:
      respond({healthy() ? 200 : 503, "{}", 0});
      return;
    case protocol::UserCall::submit:
      submit(request.body, std::move(respond));
      return;
    case protocol::UserCall::query:
      query(target.id, std::move(respond));
      return;
    case protocol::UserCall::cancel:
      cancel(target.id, clock_.now() + kAnswerWithin, std::move(respond));
      return;
    case protocol::UserCall::none:
      break;
  }
}

void UserApi::busy(const Respond& respond) {
  respond(
      {503, protocol::encode_error("the state service cannot be asked at present"), kRetryAfter});
}

void UserApi::remember(const std::string& id, const storage::FinishedRecord& record) {
  if (!finished_.emplace(id, record).second) return;
  finished_order_.push_back(id);
  if (finished_order_.size() > kFinishedKept) {
    finished_.erase(finished_order_.front());
    finished_order_.pop_front();
  }
}

bool UserApi::known_without_reading(const std::string& id,
                                    const std::function<void(const Known&)>& done) {
  Known known;
  if (const auto it = finished_.find(id); it != finished_.end()) {
    known.status = Status::ok;
    known.state = it->second.cancelled ? JobState::cancelled : JobState::done;
    known.tasks = it->second.tasks;
  } else if (!protocol::valid_job_id(id)) {
    known.status = Status::missing;
  } else if (!store_.worth_trying()) {
    known.status = Status::unavailable;
  } else {
    return false;
  }
  done(known);
  return true;
}

JobState UserApi::state_of(const std::string& id, bool cancelled) const {
  if (cancelled) return JobState::cancelled;
  const auto progress = progress_.find(id);
  return progress != progress_.end() && progress->second.running > 0 ? JobState::running
                                                                     : JobState::queued;
}

// A job's record moves from the one key to the other in a single transaction, so reading the one
// and then the other cannot miss a job that was there before the first read.
void UserApi::look_up(const std::string& id, std::function<void(const Known&)> done) {
  if (known_without_reading(id, done)) return;
  store_.get(
      storage::job_key(id),
      [this, id, done = std::move(done)](Status status, storage::Entry entry) {
        if (status == Status::missing) {
          look_up_finished(id, done);
          return;
        }
        Known found;
        found.status = status;
        if (status == Status::ok) {
          try {
            found.record = storage::decode_job(id, entry.data);
            found.revision = entry.revision;
            found.state = state_of(id, found.record.cancelled);
          } catch (const std::exception& error) {
            spdlog::error("record of {}: {}", id, error.what());
            found.status = Status::unknown;
          }
        }
        done(found);
      },
      storage::RequestPriority::user);
}

void UserApi::look_up_shared(const std::string& id, std::function<void(const Known&)> done) {
  if (known_without_reading(id, done)) return;
  view_.fresh([this, id, done = std::move(done)](Status status) {
    const auto* seen = status == Status::ok ? view_.find(id) : nullptr;
    if (status == Status::ok && seen == nullptr) {
      look_up_finished(id, done);
      return;
    }
    Known found;
    found.status = status;
    if (seen != nullptr) found.state = state_of(id, seen->cancelled);
    done(found);
  });
}

void UserApi::look_up_finished(const std::string& id, std::function<void(const Known&)> done) {
  store_.get(
      storage::finished_key(id),
      [this, id, done = std::move(done)](Status status, storage::Entry entry) {
        Known over;
        over.status = status;
        if (status == Status::ok) {
          const auto record = storage::decode_finished(entry.data);
          remember(id, record);
          over.state = record.cancelled ? JobState::cancelled : JobState::done;
          over.tasks = record.tasks;
        }
        done(over);
      },
      storage::RequestPriority::user);
}

void UserApi::answer_known(const std::string& id, const Known& known, const Respond& respond) {
  respond({200, protocol::encode_job_state(id, known.state), 0});
}

void UserApi::submit(const std::string& body, Respond respond) {
  protocol::JobSpec spec;
  std::string id;
  int refusal = 0;
  std::string why;
  try {
    const auto json = protocol::parse_object(body);
    if (const auto* ref = protocol::find(json, "ref"); ref != nullptr && ref->is_string()) {
      id = ref->get<std::string>();
    }
    spec = protocol::parse_submission(json);
  } catch (const std::exception& error) {
    refusal = 400;
    why = error.what();
  }
  if (refusal == 0 && !catalog_.known()) {
    respond({503, protocol::encode_error("the machine types are not known yet"), kRetryAfter});
    return;
  }
  if (refusal == 0) {
    why = never_runnable(spec, settings_, catalog_.types());
    if (!why.empty()) refusal = 422;
  }
  if (refusal != 0) {
    refuse(id, refusal, why, std::move(respond));
    return;
  }
  if (spec.is_service() && !services_known()) {
    put_off(id, "not all controllers know services yet", std::move(respond));
    return;
  }
  if (spec.types) {
    // Types that do not exist allow nothing, and would only make the record long.
    std::erase_if(*spec.types, [this](const std::string& name) {
      return std::none_of(catalog_.types().begin(), catalog_.types().end(),
                          [&](const auto& type) { return type.name == name; });
    });
  }
  accept(spec, clock_.now() + kAnswerWithin, std::move(respond));
}

void UserApi::refuse(const std::string& id, int status, const std::string& why, Respond respond) {
  // A job that was accepted stays accepted, whatever a repeated submission says.
  if (!protocol::valid_job_id(id)) {
    respond({status, protocol::encode_error(why), 0});
    return;
  }
  look_up(id, [this, id, status, why, respond = std::move(respond)](const Known& known) {
    if (known.status == Status::ok) {
      answer_known(id, known, respond);
    } else if (known.status == Status::missing) {
      respond({status, protocol::encode_error(why), 0});
    } else {
      busy(respond);
    }
  });
}

void UserApi::put_off(const std::string& id, const std::string& why, Respond respond) {
  look_up(id, [this, id, why, respond = std::move(respond)](const Known& known) {
    if (known.status == Status::ok) {
      answer_known(id, known, respond);
    } else {
      respond({503, protocol::encode_error(why), kRetryAfter});
    }
  });
}

void UserApi::accept(const protocol::JobSpec& spec, Seconds until, Respond respond) {
  if (finished_.contains(spec.id)) {
    look_up(spec.id, [&](const Known& known) { answer_known(spec.id, known, respond); });
    return;
  }
  if (!store_.worth_trying()) {
    busy(respond);
    return;
  }
  const StoreLimits limits = settings_.lasting_store_limits();
  const storage::JobRecord record{spec, clock_.unix_time(),
                                  storage::max_tasks_per_shard(limits.value_kb), false};
  if (!storage::can_be_cancelled_within(record, limits.value_bytes())) {
    refuse(spec.id, 400, "the names in it are too long together", std::move(respond));
    return;
  }
  storage::Transaction txn;
  txn.preconditions.push_back({storage::job_key(spec.id), 0});
  txn.preconditions.push_back({storage::finished_key(spec.id), 0});
  txn.writes.push_back({storage::job_key(spec.id), storage::encode(record), std::nullopt});
  // A write without an answer is read back before the user is told anything final.
  store_.commit_until_certain(
      std::move(txn), [this, until] { return clock_.now() < until; },
      [this, id = spec.id, respond = std::move(respond)](const storage::CommitReply& reply) {
        if (reply.status == Status::ok) {
          respond({201, protocol::encode_job_state(id, JobState::queued), 0});
          return;
        }
        if (reply.status != Status::conflict) {
          busy(respond);
          return;
        }
        look_up(id, [this, id, respond](const Known& known) {
          if (known.status == Status::ok) {
            answer_known(id, known, respond);
          } else {
            busy(respond);
          }
        });
      },
      storage::RequestPriority::user);
}

void UserApi::query(const std::string& id, Respond respond) {
  look_up_shared(id, [this, id, respond = std::move(respond)](const Known& known) {
    if (known.status == Status::missing) {
      respond({404, protocol::encode_error("no such job"), 0});
      return;
    }
    if (known.status != Status::ok) {
      busy(respond);
      return;
    }
    std::uint32_t done = known.state == JobState::done ? known.tasks : 0;
    std::uint32_t running = 0;
    if (known.state == JobState::queued || known.state == JobState::running) {
      if (const auto it = progress_.find(id); it != progress_.end()) {
        done = it->second.done;
        running = it->second.running;
      }
    }
    respond({200, protocol::encode_job_status(id, known.state, done, running), 0});
  });
}

void UserApi::cancel(const std::string& id, Seconds until, Respond respond) {
  look_up(id, [this, id, until, respond = std::move(respond)](const Known& known) {
    if (known.status == Status::missing) {
      respond({404, protocol::encode_error("no such job"), 0});
      return;
    }
    if (known.status != Status::ok) {
      busy(respond);
      return;
    }
    if (known.state == JobState::done || known.state == JobState::cancelled) {
      answer_known(id, known, respond);
      return;
    }
    storage::JobRecord record = known.record;
    record.cancelled = true;
    storage::Transaction txn;
    txn.preconditions.push_back({storage::job_key(id), known.revision});
    const double value_bytes = settings_.lasting_store_limits().value_bytes();
    txn.writes.push_back(
        {storage::job_key(id), storage::encode_within(record, value_bytes), std::nullopt});
    store_.commit_until_certain(
        std::move(txn), [this, until] { return clock_.now() < until; },
        [this, id, until, respond](const storage::CommitReply& reply) {
          if (reply.status == Status::ok) {
            on_cancelled(id);
            respond({200, protocol::encode_job_state(id, JobState::cancelled), 0});
          } else if (reply.status == Status::conflict && clock_.now() < until) {
            cancel(id, until, respond);  // it has moved on meanwhile: look again
          } else {
            busy(respond);
          }
        },
        storage::RequestPriority::user);
  });
}

}  // namespace larkroad::coordination
