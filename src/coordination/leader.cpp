#include "coordination/leader.hpp"

#include <algorithm>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

using protocol::Command;
using protocol::ExitCause;
using protocol::Op;
using storage::Status;

// Steady clocks drift apart by 0.05%; twice that is allowed for.
constexpr double kDrift = 0.001;
// Loops, as parts of the workers' report interval.
constexpr double kTickRatio = 1.0 / 10;
constexpr double kFleetRatio = 1.0 / 3;
// A worker gives up on an answer after 4 s; so does a direct command, in reports.
constexpr double kDirectRatio = 1.5;
// The room of a planning round for what else the process does: a part of a tick.
constexpr double kPlanBudgetRatio = 1.0 / 20;
// Reports and decisions are gathered for this part of the report interval before planning.
constexpr double kPlanDelayRatio = 1.0 / 300;
constexpr Seconds kCloudTimeout = 10;
// Prices move; the catalog is asked again after this many lags of the machine list.
constexpr double kCatalogRatio = 10;
// Tasks that fail on a machine, with none that succeeds, before it is put aside.
constexpr int kMachineFailures = 3;
// An error or a refusal keeps a job or a machine waiting for this many reports.
constexpr double kPauseReports = 1;
constexpr double kLongestPauseReports = 16;
// A round of planning is followed by a pause of this many times what it took: the process has
// reports and users to answer, too.
constexpr double kPlanPause = 3;

}  // namespace

Leader::Leader(transport::Clock& clock, transport::Client& client, storage::StateClient& state,
               Election& election, Catalog& catalog, const Settings& settings)
    : clock_(clock),
      client_(client),
      state_(state),
      election_(election),
      catalog_(catalog),
      settings_(settings),
      ledger_(settings) {}

void Leader::later(Seconds delay, std::function<void()> fn) {
  clock_.after(delay, guarded(std::move(fn)));
}

// ---------------------------------------------------------------- beginning and end

void Leader::begin() {
  ++epoch_;
  ready_ = false;
  begun_at_ = clock_.now();
  ledger_.clear();
  ledger_.set_day_offset(clock_.unix_time() - clock_.now());
  holds_.clear();
  refusals_.clear();
  loaded_placements_.clear();
  loaded_images_.clear();
  recording_images_ = false;
  garbage_.clear();
  gone_machines_.clear();
  pending_rentals_.clear();
  rentals_ = 0;
  listing_ = false;
  listed_once_ = false;
  plan_armed_ = false;
  plan_from_ = 0;
  dropping_ = false;
  fence_wanted_ = false;
  fenced_at_ = begun_at_;
  watched_to_ = 0;
  ledger_.set_types(catalog_.types());
  load_jobs("");
}

void Leader::end() {
  ++epoch_;
  ready_ = false;
  ledger_.clear();
  holds_.clear();
}

void Leader::types_changed() {
  if (ready_) ledger_.set_types(catalog_.types());
}

void Leader::load_jobs(const std::string& after) {
  state_.list(storage::kJobPrefix, after, guarded([this, after](storage::ListReply reply) {
                if (reply.status != Status::ok) {
                  later(settings_.report_s * kTickRatio, [this, after] { load_jobs(after); });
                  return;
                }
                // Changes since the first page are in the watch.
                if (watched_to_ == 0) watched_to_ = reply.revision;
                for (const auto& entry : reply.entries) {
                  apply_job(entry.key.substr(std::string(storage::kJobPrefix).size()), entry.data,
                            entry.mark);
                }
                if (reply.more && !reply.entries.empty()) {
                  load_jobs(reply.entries.back().key);
                } else {
                  load_placements("");
                }
              }));
}

void Leader::load_placements(const std::string& after) {
  state_.list(storage::kPlacementPrefix, after, guarded([this, after](storage::ListReply reply) {
                if (reply.status != Status::ok) {
                  later(settings_.report_s * kTickRatio, [this, after] { load_placements(after); });
                  return;
                }
                for (auto& entry : reply.entries) loaded_placements_.push_back(std::move(entry));
                if (reply.more && !reply.entries.empty()) {
                  load_placements(loaded_placements_.back().key);
                } else {
                  load_images("");
                }
              }));
}

void Leader::load_images(const std::string& after) {
  state_.list(storage::kMachinePrefix, after, guarded([this, after](storage::ListReply reply) {
                if (reply.status != Status::ok) {
                  later(settings_.report_s * kTickRatio, [this, after] { load_images(after); });
                  return;
                }
                for (const auto& entry : reply.entries) {
                  const std::string name =
                      entry.key.substr(std::string(storage::kMachinePrefix).size());
                  try {
                    loaded_images_[name] = storage::decode_images(entry.data);
                  } catch (const std::exception& error) {
                    spdlog::error("record {}: {}", entry.key, error.what());
                  }
                }
                if (reply.more && !reply.entries.empty()) {
                  load_images(reply.entries.back().key);
                } else {
                  loaded();
                }
              }));
}

void Leader::loaded() {
  const Seconds now = clock_.now();
  size_t placed = 0;
  for (const auto& entry : loaded_placements_) {
    std::string id;
    std::uint32_t chunk = 0;
    if (!storage::parse_placement_key(entry.key, id, chunk)) continue;
    Job* job = ledger_.job(id);
    if (job == nullptr) {
      garbage_.push_back(entry.key);
      continue;
    }
    try {
      const auto record = storage::decode_chunk(entry.data);
      placed += record.placed.size();
      // An earlier leader's launches may still be on their way, under any token below this one.
      ledger_.load_chunk(*job, chunk, record, entry.mark, election_.token() - 1, now);
    } catch (const std::exception& error) {
      // Not ours to guess at: without this record a task could run twice.
      spdlog::error("record {}: {}", entry.key, error.what());
      election_.resign("a placement record cannot be read");
      return;
    }
  }
  loaded_placements_.clear();
  loaded_placements_.shrink_to_fit();
  for (auto& [name, machine] : ledger_.machines()) {
    // The leader before this one may have answered its reports until its own bound.
    machine.answered_at = std::max(machine.answered_at, begun_at_ + election_.retention());
    machine.there_at = begun_at_;
  }
  for (const auto& [id, job] : ledger_.jobs()) {
    if (job->spec.gang && job->live.size() > 1) job->gang_started = true;  // to be on the safe side
  }
  ready_ = true;
  ledger_.set_types(catalog_.types());
  ready_at_ = now;
  spdlog::info("ready: {} jobs, {} tasks placed, after {:.0f} ms", ledger_.jobs().size(), placed,
               (now - begun_at_) * 1000);
  std::vector<std::string> ids;
  for (const auto& [id, job] : ledger_.jobs()) ids.push_back(id);
  for (const auto& id : ids) {
    Job* job = ledger_.job(id);
    if (job == nullptr) continue;
    if (job->cancelled) {
      cancel_job(*job);
    } else if (job->over()) {
      sync(*job);
    }
  }
  watch_jobs();
  tick();
  fleet_round();
  list_machines();
  drop_garbage();
  request_plan();
}

void Leader::watch_jobs() {
  state_.watch(storage::kJobPrefix, watched_to_, settings_.lease_s / 4,
               guarded([this](storage::WatchReply reply) {
                 if (reply.status == Status::ok) {
                   watched_to_ = std::max(watched_to_, reply.revision);
                   for (const auto& event : reply.events) {
                     const std::string id =
                         event.key.substr(std::string(storage::kJobPrefix).size());
                     if (!event.dropped) apply_job(id, event.data, event.mark);
                   }
                   watch_jobs();
                 } else if (reply.status == Status::too_old) {
                   election_.resign("missed changes of the jobs");
                 } else {
                   later(settings_.report_s * kTickRatio, [this] { watch_jobs(); });
                 }
               }));
}

void Leader::apply_job(const std::string& id, const storage::Json& data, std::uint64_t mark) {
  Job* job = ledger_.job(id);
  if (job != nullptr && mark <= job->mark) return;
  try {
    const auto record = storage::decode_job(id, data);
    if (job == nullptr) {
      job = &ledger_.add_job(id, record, mark);
      ledger_.learn_arrival(*job);
      spdlog::debug("job {}: {} of {} tasks, class {}, team {}", id,
                    record.spec.gang ? "gang" : "array", record.spec.tasks, record.spec.job_class,
                    record.spec.team);
    } else {
      job->mark = mark;
    }
    if (record.cancelled && ready_) {
      cancel_job(*job);
    } else if (ready_) {
      request_plan();
    }
  } catch (const std::exception& error) {
    spdlog::error("record of {}: {}", id, error.what());
  }
}

void Leader::refresh_job(const std::string& id) {
  state_.get(storage::job_key(id), guarded([this, id](Status status, storage::Entry entry) {
               if (status == Status::ok) {
                 apply_job(id, entry.data, entry.mark);
                 if (Job* job = ledger_.job(id)) {
                   job->busy = false;
                   sync(*job);
                 }
               } else if (status == Status::missing) {
                 election_.resign("the record of " + id + " is gone");
               } else {
                 later(settings_.report_s * kTickRatio, [this, id] { refresh_job(id); });
               }
             }));
}

// ---------------------------------------------------------------- jobs and their records

void Leader::cancel_job(Job& job) {
  if (!job.cancelled) spdlog::info("job {} is cancelled", job.id());
  job.cancelled = true;
  holds_.release(job.id());
  std::vector<std::uint32_t> unsent;
  std::vector<std::uint32_t> sent;
  for (auto& [task, placement] : job.live) {
    if (placement.stage == Placement::Stage::recording) {
      // While its transaction is under way the answer decides; it can no longer succeed unless
      // it came before the cancellation, and then nothing is launched.
      if (!job.busy) unsent.push_back(task);
    } else {
      sent.push_back(task);
    }
  }
  for (const auto task : unsent) ledger_.unplace(job, task, clock_.now());
  for (const auto task : sent) {
    const auto it = job.live.find(task);
    if (it != job.live.end()) stop(job, it->second, 0);
  }
  sync(job);
}

void Leader::sync(Job& job) {
  if (job.busy || !ready_ || !election_.leads()) return;
  if (job.over()) {
    finish_job(job);
    return;
  }
  storage::Transaction txn;
  txn.guards.push_back({storage::kLeaderKey, election_.token()});
  txn.guards.push_back({storage::job_key(job.id()), job.mark});
  std::vector<std::uint32_t> chunks;
  std::vector<std::pair<std::uint32_t, std::uint64_t>> recorded;
  std::vector<std::uint32_t> done;
  size_t bytes = 0;
  for (auto& [number, chunk] : job.chunks) {
    if (!chunk.dirty || clock_.now() < chunk.write_at) continue;
    if (static_cast<int>(chunks.size()) >= settings_.txn_ops || bytes > transport::kBodyLimit / 2) {
      break;
    }
    const std::string key = storage::placement_key(job.id(), number);
    txn.guards.push_back({key, chunk.mark});
    txn.writes.push_back({key, storage::encode(ledger_.chunk_record(job, number)), std::nullopt});
    bytes += txn.writes.back().data.dump().size() + key.size() + 64;
    chunks.push_back(number);
    chunk.dirty = false;
    const std::uint32_t first = number * job.chunk_tasks;
    const std::uint32_t end = first + job.chunk_tasks;
    for (auto p = job.live.lower_bound(first); p != job.live.end() && p->first < end; ++p) {
      if (p->second.stage == Placement::Stage::recording) {
        recorded.emplace_back(p->first, p->second.attempt);
      }
    }
    for (auto d = job.unrecorded_done.lower_bound(first);
         d != job.unrecorded_done.end() && *d < end; ++d) {
      done.push_back(*d);
    }
  }
  if (chunks.empty()) return;
  job.busy = true;
  state_.settle(
      std::move(txn), [this, epoch = epoch_] { return epoch == epoch_; },
      guarded([this, id = job.id(), chunks, recorded, done](const storage::CommitReply& reply) {
        synced(id, chunks, recorded, done, reply);
      }));
}

void Leader::synced(const std::string& id, const std::vector<std::uint32_t>& chunks,
                    const std::vector<std::pair<std::uint32_t, std::uint64_t>>& recorded,
                    const std::vector<std::uint32_t>& done, const storage::CommitReply& reply) {
  Job* job = ledger_.job(id);
  if (job == nullptr) return;
  job->busy = false;
  if (reply.status != Status::ok) {
    for (const auto number : chunks) job->chunks[number].dirty = true;  // at once, as before
    if (reply.status == Status::conflict && reply.failed_on(storage::job_key(id))) {
      job->busy = true;  // until its record has been read again
      refresh_job(id);
      return;
    }
    if (reply.status == Status::conflict && reply.failed_on(storage::kLeaderKey)) {
      // Either this node raised its own token meanwhile, or it no longer leads and will hear so.
      later(settings_.report_s * kTickRatio, [this, id] {
        if (Job* again = ledger_.job(id)) sync(*again);
      });
      return;
    }
    spdlog::error("records of {} could not be written", id);
    election_.resign("a record is not what this leader wrote");
    return;
  }
  for (const auto number : chunks) job->chunks[number].mark = reply.revision;
  for (const auto task : done) job->unrecorded_done.erase(task);
  std::vector<std::uint32_t> launches;
  for (const auto& [task, attempt] : recorded) {
    const auto it = job->live.find(task);
    if (it == job->live.end() || it->second.attempt != attempt ||
        it->second.stage != Placement::Stage::recording) {
      continue;
    }
    it->second.stage = Placement::Stage::recorded;
    launches.push_back(task);
  }
  if (job->cancelled) {
    // Recorded, but nothing was sent and nothing will be.
    for (const auto task : launches) ledger_.unplace(*job, task, clock_.now());
    launches.clear();
  }
  if (job->spec.gang) {
    // All starts go in one round, once every record of the gang is durable.
    launches.clear();
    for (const auto& [task, placement] : job->live) {
      if (placement.stage == Placement::Stage::recording) {
        sync(*job);
        return;
      }
      if (placement.stage == Placement::Stage::recorded && !placement.stopping) {
        launches.push_back(task);
      }
    }
  }
  if (!launches.empty() && election_.leads()) launch(*job, launches);
  sync(*job);
  request_plan();
}

void Leader::finish_job(Job& job) {
  storage::Transaction txn;
  txn.guards.push_back({storage::kLeaderKey, election_.token()});
  txn.guards.push_back({storage::job_key(job.id()), job.mark});
  // A cancelled job stays cancelled, even if its last task was done before it could be stopped:
  // its user has been told.
  txn.writes.push_back({storage::finished_key(job.id()),
                        storage::encode(storage::FinishedRecord{job.cancelled, job.spec.tasks}),
                        std::nullopt});
  txn.drops.push_back(storage::job_key(job.id()));
  std::vector<std::string> rest;
  for (const auto& [number, chunk] : job.chunks) {
    if (chunk.mark == 0) continue;
    const std::string key = storage::placement_key(job.id(), number);
    if (static_cast<int>(txn.changes()) < settings_.txn_ops) {
      txn.drops.push_back(key);
    } else {
      rest.push_back(key);
    }
  }
  job.busy = true;
  state_.settle(
      std::move(txn), [this, epoch = epoch_] { return epoch == epoch_; },
      guarded([this, id = job.id(), rest](const storage::CommitReply& reply) {
        Job* job = ledger_.job(id);
        if (job == nullptr) return;
        if (reply.status == Status::ok) {
          spdlog::info("job {} is {}", id, job->cancelled ? "cancelled" : "done");
          garbage_.insert(garbage_.end(), rest.begin(), rest.end());
          ledger_.remove_job(id);
          drop_garbage();
          request_plan();
          return;
        }
        if (reply.status == Status::conflict && reply.failed_on(storage::job_key(id))) {
          refresh_job(id);
          return;
        }
        job->busy = false;
        later(settings_.report_s * kTickRatio, [this, id] {
          if (Job* again = ledger_.job(id)) sync(*again);
        });
      }));
}

void Leader::drop_garbage() {
  if (dropping_ || garbage_.empty() || !election_.leads()) return;
  dropping_ = true;
  storage::Transaction txn;
  txn.guards.push_back({storage::kLeaderKey, election_.token()});
  while (!garbage_.empty() && static_cast<int>(txn.changes()) < settings_.txn_ops) {
    txn.drops.push_back(std::move(garbage_.back()));
    garbage_.pop_back();
  }
  state_.commit(txn, guarded([this, keys = txn.drops](const storage::CommitReply& reply) {
                  dropping_ = false;
                  if (reply.status != Status::ok)
                    garbage_.insert(garbage_.end(), keys.begin(), keys.end());
                  // What is left of jobs that are over has no hurry.
                  if (!garbage_.empty()) later(settings_.report_s, [this] { drop_garbage(); });
                }),
                storage::Use::help);
}

// What machines hold outlives a leader only for the sake of speed: it is written when nothing
// else waits for the state service, some machines at a time.
void Leader::record_images() {
  if (recording_images_ || !election_.leads()) return;
  storage::Transaction txn;
  std::vector<std::string> names;
  txn.guards.push_back({storage::kLeaderKey, election_.token()});
  for (auto& [name, machine] : ledger_.machines()) {
    if (!machine.images_changed) continue;
    if (static_cast<int>(txn.changes()) >= settings_.txn_ops) break;
    std::vector<std::pair<Seconds, std::pair<std::string, double>>> by_use;
    for (const auto& [image, entry] : machine.images) {
      by_use.push_back({entry.second, {image, entry.first}});
    }
    std::sort(by_use.begin(), by_use.end());
    storage::Images images;
    for (auto& [used, image] : by_use) images.push_back(std::move(image));
    while (images.size() > 1 && storage::encode(images).dump().size() > settings_.value_kb * 1024) {
      images.erase(images.begin());
    }
    machine.images_changed = false;
    names.push_back(name);
    txn.writes.push_back({storage::kMachinePrefix + name, storage::encode(images), std::nullopt});
  }
  if (names.empty()) return;
  recording_images_ = true;
  state_.commit(txn, guarded([this, names](const storage::CommitReply& reply) {
                  recording_images_ = false;
                  if (reply.status == Status::ok) return;
                  for (const auto& name : names) {
                    if (Machine* machine = ledger_.find_machine(name))
                      machine->images_changed = true;
                  }
                }),
                storage::Use::help);
}

void Leader::gone(Job& job, std::uint32_t task, const std::string& why) {
  spdlog::info("task {}/{} is gone: {}", job.id(), task, why);
  const auto it = job.live.find(task);
  const bool gang = job.spec.gang && job.spec.tasks > 1;
  const bool fell_apart = gang && job.gang_started && it != job.live.end();
  ledger_.unplace(job, task, clock_.now());
  if (fell_apart) break_gang(job, why);
  if (job.cancelled && job.over()) sync(job);
  request_plan();
}

void Leader::break_gang(Job& job, const std::string& why) {
  if (job.live.empty() || job.cancelled) return;
  if (!job.gang_broken) spdlog::info("gang {} ends its attempt: {}", job.id(), why);
  job.gang_broken = true;
  std::vector<std::uint32_t> unsent;
  for (auto& [task, placement] : job.live) {
    if (placement.stage == Placement::Stage::recording && !job.busy) {
      unsent.push_back(task);
    } else if (placement.stage != Placement::Stage::recording) {
      stop(job, placement, 0);
    }
  }
  for (const auto task : unsent) ledger_.unplace(job, task, clock_.now());
}

// ---------------------------------------------------------------- workers

transport::Response Leader::checkin(const protocol::Report& report) {
  const Seconds now = clock_.now();
  Commands commands;
  if (!gone_machines_.contains(report.machine)) {
    if (ready_) {
      commands = process(report);
    }
    Machine& machine = ledger_.machine(report.machine);
    machine.answered_at = std::max(machine.answered_at, now);
    if (!election_.leads()) {
      // Past its lease it keeps what runs alive and stops what must end, but starts nothing.
      std::erase_if(commands, [](const Command& c) { return c.op != Op::kill; });
    }
  }
  return {200, protocol::encode_report_answer(election_.token(), commands), 0};
}

Leader::Commands Leader::process(const protocol::Report& report) {
  const Seconds now = clock_.now();
  Commands commands;
  if (gone_machines_.contains(report.machine)) return commands;
  Machine& machine = ledger_.machine(report.machine);
  if (report.session < machine.session ||
      (report.session == machine.session && report.tick <= machine.tick)) {
    return commands;  // older than what is known
  }
  // A session that was taken for over cannot speak again, but for reports that were held up.
  if (machine.silent && report.session == machine.session) return commands;
  if (report.session > machine.session) end_sessions(machine, report.session);
  if (!machine.heard) {
    machine.heard = true;
    machine.there_at = std::max(machine.there_at, now);
    machine.idle_since = now;
    if (machine.rented_at == 0) machine.rented_at = now;
    if (const auto it = loaded_images_.find(report.machine); it != loaded_images_.end()) {
      for (const auto& [image, gb] : it->second) machine.images[image] = {gb, now};
      loaded_images_.erase(it);
    }
    spdlog::info("machine {} ({} in {}{}) is up", report.machine, report.type, report.zone,
                 report.spot ? ", spot" : "");
  }
  machine.session = report.session;
  machine.tick = report.tick;
  machine.token_seen = std::max(machine.token_seen, report.token);
  machine.heard_at = now;
  machine.silent = false;
  machine.address = report.address;
  machine.zone = report.zone;
  machine.spot = report.spot;
  if (machine.type != report.type || machine.capacity.cpus == 0) {
    ledger_.set_type(machine, report.type);
  }
  std::erase_if(machine.doubts, [&](const auto& doubt) {
    return doubt.second.token < machine.token_seen;  // the worker refuses it from now on
  });
  if (report.notice_s && !machine.taken_at) {
    drain(machine, *report.notice_s);
  } else if (!report.notice_s) {
    machine.taken_at.reset();
  }

  std::set<std::pair<TaskId, std::uint64_t>> reported;
  for (const auto& task : report.tasks) {
    reported.insert({task.id, task.attempt});
    process_task(machine, task, commands);
  }
  const auto tasks = machine.tasks;  // a copy: what follows may change it
  for (const auto& id : tasks) {
    Job* job = ledger_.job(id.job);
    if (job == nullptr) continue;
    const auto it = job->live.find(id.task);
    if (it == job->live.end() || it->second.machine != machine.name ||
        it->second.stage == Placement::Stage::recording ||
        reported.contains({id, it->second.attempt})) {
      continue;
    }
    absent(machine, *job, it->second, commands);
  }
  return commands;
}

void Leader::end_sessions(Machine& machine, std::uint64_t session) {
  const auto tasks = machine.tasks;
  machine.doubts.clear();
  for (const auto& id : tasks) {
    Job* job = ledger_.job(id.job);
    if (job == nullptr) continue;
    const auto it = job->live.find(id.task);
    if (it == job->live.end() || it->second.session >= session) continue;
    if (it->second.stage == Placement::Stage::recording) {
      // Its record names a session that is over: nothing of it was sent. Decide anew.
      ledger_.unplace(*job, id.task, clock_.now());
      request_plan();
    } else {
      gone(*job, id.task, "machine " + machine.name + " began session " + std::to_string(session));
    }
  }
}

void Leader::process_task(Machine& machine, const protocol::TaskReport& task, Commands& commands) {
  const Seconds now = clock_.now();
  Job* job = ledger_.job(task.id.job);
  Placement* placement = nullptr;
  if (job != nullptr) {
    const auto it = job->live.find(task.id.task);
    if (it != job->live.end() && it->second.machine == machine.name &&
        it->second.attempt == task.attempt && it->second.session == machine.session &&
        it->second.stage != Placement::Stage::recording) {
      placement = &it->second;
    }
  }
  if (task.state == TaskState::exited) {
    if (placement != nullptr) exited(machine, *job, task);
    // A result is kept on the worker until it is durable here. And after `forget`, a launch that
    // is still on its way would run the task once more.
    job = ledger_.job(task.id.job);
    const bool durable = task.cause != ExitCause::done || job == nullptr ||
                         !job->unrecorded_done.contains(task.id.task);
    if (machine.doubts.contains({task.id, task.attempt})) {
      fence_wanted_ = true;
    } else if (durable) {
      commands.push_back({Op::forget, task.id, task.attempt, 0});
    }
    return;
  }
  if (placement == nullptr) {
    // Nothing that is recorded wants it: what is left of a job that is over.
    commands.push_back({Op::kill, task.id, task.attempt, 0});
    return;
  }
  const bool has_image = task.state != TaskState::fetching;
  if (placement->stage != Placement::Stage::held || placement->state != task.state) {
    spdlog::debug("task {} attempt {} on {}: {}", task.id.text(), task.attempt, machine.name,
                  task.state == TaskState::fetching  ? "fetching"
                  : task.state == TaskState::waiting ? "waiting"
                  : task.state == TaskState::running ? "running"
                                                     : "saving");
  }
  placement->stage = Placement::Stage::held;
  placement->inherited = false;
  placement->state = task.state;
  if (has_image) {
    const MachineType* type = ledger_.type(machine.type);
    machine.touch_image(job->spec.image, job->spec.image_gb, type ? type->cache_gb : 0, now);
  }
  if (task.state == TaskState::running) {
    if (placement->running_since < 0) placement->running_since = now;
    job->gang_started = job->spec.gang;
    job->seen_running = true;
  }
  if (placement->stopping && task.state != TaskState::saving) {
    placement->stop_sent = now;
    commands.push_back({Op::kill, task.id, task.attempt, placement->grace_s});
  }
}

void Leader::exited(Machine& machine, Job& job, const protocol::TaskReport& task) {
  const Seconds now = clock_.now();
  spdlog::info("task {} attempt {} on {} exited: {}{}", task.id.text(), task.attempt, machine.name,
               protocol::cause_name(task.cause), task.saved ? ", saved" : "");
  const Seconds pause =
      settings_.report_s *
      std::min(kPauseReports * (1 << std::min(job.failures, 4)), kLongestPauseReports);
  switch (task.cause) {
    case ExitCause::done:
      machine.failures = 0;
      if (const auto& p = job.live.at(task.id.task); p.running_since >= 0) {
        ledger_.learn_run(job.spec, now - p.running_since);
      }
      ledger_.finish(job, task.id.task, now);
      sync(job);
      request_plan();
      return;
    case ExitCause::error:
      // Mostly the machine is faulty; but a job that fails everywhere is the job's own fault, and
      // then its later failures say nothing of the machines.
      if (job.failures < kMachineFailures && ++machine.failures >= kMachineFailures) {
        spdlog::info("machine {} is put aside: every task fails on it", machine.name);
        machine.suspect = true;
      }
      ++job.failures;
      job.retry_at = now + pause;
      break;
    case ExitCause::full:
      machine.refused_until = now + settings_.report_s * kPauseReports;
      break;
    case ExitCause::busy:
    case ExitCause::unknown:
      ++job.failures;
      job.retry_at = now + pause;
      break;
    default:
      break;
  }
  gone(job, task.id.task, protocol::cause_name(task.cause));
  // A gang's attempt ends with the exit of any of its tasks. The worker remembers the attempt, so
  // launching it there again would have no effect; the rest starts anew under the next one.
  if (job.spec.gang && job.spec.tasks > 1) break_gang(job, protocol::cause_name(task.cause));
}

void Leader::absent(Machine& machine, Job& job, Placement& placement, Commands& commands) {
  const auto key = std::make_pair(TaskId{job.id(), placement.task}, placement.attempt);
  const auto doubt = machine.doubts.find(key);
  const bool in_doubt = doubt != machine.doubts.end();
  if (placement.stopping || job.cancelled) {
    if (in_doubt) {
      // A launch may still arrive: a higher token closes the door, once the worker has seen it.
      if (!doubt->second.pending) fence_wanted_ = true;
      return;
    }
    gone(job, placement.task, "not on its machine");
    return;
  }
  if (placement.inherited) {
    // Not to be launched again as it stands: its room and its part of the team's limit may have
    // gone to others since. Once the worker has seen this leader's token nothing of an earlier
    // one can start it any more, and it queues like any other task.
    if (!in_doubt) gone(job, placement.task, "not on its machine");
    return;
  }
  if (in_doubt && doubt->second.pending) return;
  // To be repeated in the answer to a report only: that is never carried out late.
  placement.stage = Placement::Stage::launched;
  commands.push_back({Op::launch, key.first, placement.attempt, 0});
}

void Leader::stop(Job& job, Placement& placement, double grace_s) {
  const Seconds now = clock_.now();
  if (placement.stopping && placement.grace_s <= grace_s) return;
  placement.stopping = true;
  placement.grace_s = grace_s;
  Machine* machine = ledger_.find_machine(placement.machine);
  if (machine == nullptr || machine->address.empty()) return;
  placement.stop_sent = now;
  direct(placement.machine, {{Op::kill, {job.id(), placement.task}, placement.attempt, grace_s}});
}

// Long enough to save, with a report's worth to spare for a slow machine.
double Leader::grace(const Job& job) const { return job.spec.save_s + settings_.report_s; }

void Leader::launch(Job& job, const std::vector<std::uint32_t>& tasks) {
  std::map<std::string, Commands> by_machine;
  for (const auto task : tasks) {
    Placement& placement = job.live.at(task);
    Machine* machine = ledger_.find_machine(placement.machine);
    if (machine == nullptr || machine->session != placement.session || machine->silent) {
      // Its machine's session ended while the record was written; nothing was sent.
      ledger_.unplace(job, task, clock_.now());
      request_plan();
      continue;
    }
    placement.stage = Placement::Stage::launched;
    machine->doubts[{{job.id(), task}, placement.attempt}] = {election_.token(), true};
    by_machine[placement.machine].push_back({Op::launch, {job.id(), task}, placement.attempt, 0});
  }
  for (auto& [machine, commands] : by_machine) direct(machine, std::move(commands));
}

void Leader::direct(const std::string& name, Commands commands) {
  const Machine& machine = *ledger_.find_machine(name);
  const std::uint64_t token = election_.token();
  client_.call(
      machine.address,
      {"POST", protocol::kCommandsPath,
       protocol::encode_commands(token, machine.session, commands)},
      settings_.report_s * kDirectRatio,
      guarded([this, name, commands](transport::Outcome outcome, transport::Response response) {
        Machine* machine = ledger_.find_machine(name);
        if (machine == nullptr) return;
        const bool answered = outcome == transport::Outcome::answered &&
                              (response.status == 200 || response.status == 409);
        for (const auto& command : commands) {
          if (command.op != Op::launch) continue;
          const auto doubt = machine->doubts.find({command.id, command.attempt});
          if (doubt == machine->doubts.end()) continue;
          if (answered || outcome == transport::Outcome::not_sent ||
              (outcome == transport::Outcome::answered && response.status == 400)) {
            machine->doubts.erase(doubt);
          } else {
            doubt->second.pending = false;
          }
        }
        if (!answered) {
          spdlog::debug("machine {} gave no answer to a command", name);
          return;
        }
        try {
          const auto report = protocol::parse_report(response.body);
          if (report.token > election_.token()) {
            election_.superseded(report.token);
            return;
          }
          // Commands that follow from this wait for the worker's own report.
          const Commands more = process(report);
          Commands kills;
          for (const auto& command : more) {
            if (command.op == Op::kill) kills.push_back(command);
          }
          if (!kills.empty() && response.status == 200) direct(name, std::move(kills));
        } catch (const std::exception& error) {
          spdlog::error("machine {}: {}", name, error.what());
        }
      }));
}

void Leader::inspect(Machine& machine) {
  client_.call(machine.address, {"GET", protocol::kInspectPath, ""}, settings_.report_s,
               guarded([this, name = machine.name](transport::Outcome outcome,
                                                   transport::Response response) {
                 if (outcome != transport::Outcome::answered || response.status != 200) return;
                 try {
                   const auto report = protocol::parse_report(response.body);
                   if (report.token > election_.token()) {
                     election_.superseded(report.token);
                     return;
                   }
                   process(report);
                   request_plan();
                 } catch (const std::exception& error) {
                   spdlog::error("machine {}: {}", name, error.what());
                 }
               }));
}

void Leader::drain(Machine& machine, double notice_s) {
  const Seconds now = clock_.now();
  machine.taken_at = now + notice_s;
  spdlog::info("machine {} will be taken in {:.1f} s", machine.name, notice_s);
  const auto tasks = machine.tasks;
  for (const auto& id : tasks) {
    Job* job = ledger_.job(id.job);
    if (job == nullptr) continue;
    const auto it = job->live.find(id.task);
    if (it == job->live.end() || it->second.stage != Placement::Stage::held) continue;
    if (job->spec.gang && job->spec.tasks > 1) {
      // An orderly stop: all members, with the same grace, in one round.
      for (auto& [task, placement] : job->live) {
        if (placement.stage == Placement::Stage::held) stop(*job, placement, grace(*job));
      }
    } else if (job->spec.checkpoint_s > 0 || it->second.state != TaskState::running) {
      stop(*job, it->second, grace(*job));
    }
  }
}

void Leader::all_gone(Machine& machine, const std::string& why) {
  const auto tasks = machine.tasks;  // a copy: what follows changes it
  for (const auto& id : tasks) {
    Job* job = ledger_.job(id.job);
    if (job != nullptr && job->live.contains(id.task)) gone(*job, id.task, why);
  }
}

void Leader::machine_gone(const std::string& name, const std::string& why) {
  Machine* machine = ledger_.find_machine(name);
  if (machine == nullptr) return;
  spdlog::info("machine {} is gone: {}", name, why);
  gone_machines_[name] = clock_.now();
  all_gone(*machine, "machine " + name + " is gone");
  ledger_.remove_machine(name);
  garbage_.push_back(storage::kMachinePrefix + name);
  drop_garbage();
}

// ---------------------------------------------------------------- loops

void Leader::tick() {
  later(settings_.report_s * kTickRatio, [this] { tick(); });
  const Seconds now = clock_.now();
  if (!election_.leads()) return;
  std::vector<std::string> silent;
  for (auto& [name, machine] : ledger_.machines()) {
    if (machine.silent || machine.answered_at < 0) continue;
    // Its worker ends every task by then, and begins a new session when it can be heard again.
    if (now > machine.answered_at + settings_.lease_s * (1 + kDrift) + settings_.report_s / 10) {
      silent.push_back(name);
    }
  }
  for (const auto& name : silent) {
    Machine& machine = *ledger_.find_machine(name);
    machine.silent = true;
    spdlog::info("machine {} is silent: its lease is over", name);
    end_sessions(machine, machine.session + 1);
  }
  for (const auto& [id, job] : ledger_.jobs()) {
    if (!job->busy) sync(*job);
  }
  if (fence_wanted_ && now - fenced_at_ > settings_.lease_s / 4) {
    fence_wanted_ = false;
    fenced_at_ = now;
    election_.raise_token();
  }
  if (!holds_.all().empty() || plan_from_ != 0) request_plan();
  for (const auto& [id, job] : ledger_.jobs()) {
    if (job->waiting() > 0) {
      request_plan();
      break;
    }
  }
}

void Leader::request_plan() {
  if (plan_armed_ || !ready_) return;
  plan_armed_ = true;
  const Seconds pause = std::max(settings_.report_s * kPlanDelayRatio, plan_next_ - clock_.now());
  later(pause, [this] {
    plan_armed_ = false;
    make_plan();
  });
}

void Leader::make_plan() {
  if (!ready_ || !election_.leads()) return;
  const Seconds begun = clock_.now();
  PlanLimits limits;
  limits.hold_s = settings_.operators.hold_s;
  limits.start_bound_s = settings_.operators.start_bound_s;
  limits.start_at = plan_from_;
  limits.out_of_time = [this, begun] {
    return clock_.now() - begun > settings_.report_s * kTickRatio * kPlanBudgetRatio;
  };
  const Plan decided = plan(ledger_, holds_, begun, limits);
  plan_from_ = decided.stopped_at;
  for (const auto& assignment : decided.assignments) {
    Job* job = ledger_.job(assignment.job);
    if (job == nullptr) continue;
    if (job->spec.gang && job->live.empty()) {
      for (const auto& [number, chunk] : job->chunks) {
        job->gang_attempt = std::max(job->gang_attempt, chunk.attempt);
      }
      ++job->gang_attempt;
    }
    for (const auto& [task, name] : assignment.tasks) {
      Machine& machine = ledger_.machine(name);
      const std::uint64_t attempt =
          job->spec.gang ? job->gang_attempt : job->chunks[job->chunk_of(task)].attempt + 1;
      ledger_.place(*job, task, machine, attempt, begun);
      job->chunks[job->chunk_of(task)].write(begun);
    }
    spdlog::debug("job {}: {} tasks placed, first on {}", job->id(), assignment.tasks.size(),
                  assignment.tasks.front().second);
    sync(*job);
  }
  for (const auto& victim : decided.preemptions) {
    Job* job = ledger_.job(victim.job);
    if (job == nullptr) continue;
    const auto it = job->live.find(victim.task);
    if (it == job->live.end() || it->second.stage != Placement::Stage::held) continue;
    spdlog::info("task {}/{} gives way to {}", victim.job, victim.task, victim.for_job);
    stop(*job, it->second, victim.save ? grace(*job) : 0);
  }
  plan_next_ = clock_.now() + (clock_.now() - begun) * kPlanPause;
  if (plan_from_ != 0) request_plan();
}

void Leader::fleet_round() {
  later(settings_.report_s * kFleetRatio, [this] { fleet_round(); });
  record_images();
  if (spdlog::should_log(spdlog::level::debug)) log_use();
  if (!election_.leads() || !catalog_.known()) return;
  // Until the machines of an earlier leader have had time to report, what is there is not known.
  if (!listed_once_ || clock_.now() - ready_at_ < settings_.report_s * 1.5) return;
  const FleetPlan decided = plan_fleet(ledger_, refusals_, pending_rentals_, clock_.now(),
                                       settings_.operators.start_bound_s);
  for (const auto& wanted : decided.rent) rent(wanted.market, wanted.count);
  if (!decided.give_back.empty()) give_back(decided.give_back);
}

// One line on how the fleet is used, for those who look for room.
void Leader::log_use() const {
  struct Use {
    int up = 0, coming = 0, idle = 0;
    Resources all, placed, running;
  };
  std::map<std::string, Use> by_type;
  for (const auto& [name, machine] : ledger_.machines()) {
    Use& use = by_type[machine.type + (machine.spot ? "/spot" : "")];
    if (!machine.heard) {
      ++use.coming;
      continue;
    }
    ++use.up;
    use.idle += machine.tasks.empty();
    use.all += machine.capacity;
    use.placed += machine.used;
    for (const auto& id : machine.tasks) {
      const Job* job = ledger_.job(id.job);
      if (job != nullptr && job->live.at(id.task).running_since >= 0) {
        use.running += needs_of(job->spec);
      }
    }
  }
  std::string line;
  for (const auto& [type, use] : by_type) {
    line += fmt::format(" {}: {} up {} coming {} idle", type, use.up, use.coming, use.idle);
    if (use.all.gpus > 0) {
      line += fmt::format(" gpus {:.0f}/{:.0f}/{:.0f}", use.running.gpus, use.placed.gpus,
                          use.all.gpus);
    }
    line +=
        fmt::format(" cpus {:.0f}/{:.0f}/{:.0f};", use.running.cpus, use.placed.cpus, use.all.cpus);
  }
  std::map<std::string, std::pair<int, std::uint32_t>> waiting;
  for (const auto& [id, job] : ledger_.jobs()) {
    if (job->waiting() == 0) continue;
    ++waiting[job->spec.job_class].first;
    waiting[job->spec.job_class].second += job->waiting();
  }
  for (const auto& [name, count] : waiting) {
    line += fmt::format(" {} waits: {} jobs {} tasks;", name, count.first, count.second);
  }
  spdlog::debug("fleet (running/placed/all){}", line);
}

void Leader::rent(const Market& market, int count) {
  // The token is this leadership's own, so the name is never used again by any node or term.
  protocol::RentalRequest request{
      "r-" + std::to_string(election_.token()) + "-" + std::to_string(++rentals_), market.type,
      market.zone, market.spot, std::min(count, protocol::kMostRented)};
  pending_rentals_[market] += request.count;
  spdlog::info("rents {} {} in {}{}", request.count, market.type, market.zone,
               market.spot ? " (spot)" : "");
  send_rental(request);
}

void Leader::send_rental(const protocol::RentalRequest& request) {
  const Seconds sent = clock_.now();
  client_.call(
      settings_.cloud.text(), {"POST", protocol::kRentPath, protocol::encode_rental(request)},
      kCloudTimeout,
      guarded([this, request, sent](transport::Outcome outcome, transport::Response response) {
        const Market market{request.type, request.zone, request.spot};
        const auto settled = [&] {
          auto& pending = pending_rentals_[market];
          pending -= request.count;
          if (pending <= 0) pending_rentals_.erase(market);
        };
        if (outcome == transport::Outcome::answered && response.status == 200) {
          std::vector<std::string> names;
          try {
            names = protocol::parse_rented(response.body);
          } catch (const std::exception& error) {
            spdlog::error("cloud: {}", error.what());
          }
          settled();
          for (const auto& name : names) {
            Machine& machine = ledger_.machine(name);
            if (machine.rented_at == 0) machine.rented_at = sent;
            machine.there_at = std::max(machine.there_at, clock_.now());
            machine.zone = request.zone;
            machine.spot = request.spot;
            ledger_.set_type(machine, request.type);
          }
          if (static_cast<int>(names.size()) < request.count) {
            refusals_.refused(market, clock_.now(), settings_.list_lag_s, settings_.list_lag_s * 8);
          } else {
            refusals_.granted(market);
          }
          return;
        }
        const bool refused = outcome == transport::Outcome::answered && response.status == 503 &&
                             response.body.find("capacity") != std::string::npos;
        if (refused || (outcome == transport::Outcome::answered && response.status == 400)) {
          spdlog::info("cloud has no {} in {}{}", request.type, request.zone,
                       request.spot ? " (spot)" : "");
          settled();
          refusals_.refused(market, clock_.now(), settings_.list_lag_s, settings_.list_lag_s * 8);
          return;
        }
        // Without an answer it is repeated as it was, whether or not it was carried out.
        later(settings_.report_s, [this, request] { send_rental(request); });
      }));
}

void Leader::give_back(const std::vector<std::string>& names) {
  std::vector<std::string> batch;
  for (const auto& name : names) {
    Machine* machine = ledger_.find_machine(name);
    if (machine == nullptr || machine->returning) continue;
    if (static_cast<int>(batch.size()) >= protocol::kMostReturned) break;
    machine->returning = true;
    batch.push_back(name);
  }
  if (batch.empty()) return;
  spdlog::info("returns {} machines, first {}", batch.size(), batch.front());
  client_.call(settings_.cloud.text(),
               {"POST", protocol::kReturnPath, protocol::encode_return(batch)}, kCloudTimeout,
               guarded([this, batch](transport::Outcome outcome, transport::Response response) {
                 if (outcome == transport::Outcome::answered && response.status == 200) {
                   for (const auto& name : batch) machine_gone(name, "returned");
                   return;
                 }
                 later(settings_.report_s, [this, batch] {
                   for (const auto& name : batch) {
                     if (Machine* machine = ledger_.find_machine(name)) machine->returning = false;
                   }
                   give_back(batch);
                 });
               }));
}

void Leader::list_machines() {
  later(settings_.list_lag_s > 0 ? settings_.list_lag_s / 2 : settings_.report_s,
        [this] { list_machines(); });
  if (listing_ || !election_.leads()) return;
  listing_ = true;
  list_page("", clock_.now());
}

void Leader::list_page(const std::string& after, Seconds begun) {
  client_.call(settings_.cloud.text(), {"GET", protocol::list_target(after), ""}, kCloudTimeout,
               guarded([this, begun](transport::Outcome outcome, transport::Response response) {
                 if (outcome != transport::Outcome::answered || response.status != 200) {
                   listing_ = false;
                   return;
                 }
                 try {
                   const auto page = protocol::parse_machine_page(response.body);
                   const Seconds now = clock_.now();
                   std::vector<std::string> failed;
                   for (const auto& listed : page.machines) {
                     if (gone_machines_.contains(listed.name)) continue;
                     Machine& machine = ledger_.machine(listed.name);
                     machine.listed_at = begun;
                     if (machine.rented_at == 0) machine.rented_at = now - listed.age_s;
                     if (machine.type.empty()) {
                       machine.zone = listed.zone;
                       machine.spot = listed.spot;
                       ledger_.set_type(machine, listed.type);
                     }
                     if (machine.address.empty()) machine.address = listed.address;
                     if (listed.state == protocol::ListedState::failed) {
                       failed.push_back(listed.name);
                     } else if (listed.state == protocol::ListedState::running && !machine.heard &&
                                !machine.address.empty()) {
                       inspect(machine);
                     }
                   }
                   for (const auto& name : failed) {
                     // It stopped on its own, and all that was on it; it stays listed until it is
                     // deleted.
                     Machine* machine = ledger_.find_machine(name);
                     if (machine == nullptr || machine->returning) continue;
                     all_gone(*machine, "machine " + name + " has failed");
                     give_back({name});
                   }
                   if (page.more && !page.machines.empty()) {
                     list_page(page.machines.back().name, begun);
                     return;
                   }
                 } catch (const std::exception& error) {
                   spdlog::error("cloud: {}", error.what());
                   listing_ = false;
                   return;
                 }
                 listing_ = false;
                 listed(begun);
               }));
}

void Leader::listed(Seconds begun) {
  listed_once_ = true;
  if (begun > catalog_asked_at_ + settings_.list_lag_s * kCatalogRatio) {
    catalog_asked_at_ = begun;
    catalog_.refresh();
  }
  // A list shows a moment at most two lags ago. One that lacks a machine which an older moment
  // showed, or which was rented before that moment, proves that it is gone.
  const Seconds oldest = begun - 2 * settings_.list_lag_s - settings_.report_s;
  std::vector<std::string> missing;
  for (const auto& [name, machine] : ledger_.machines()) {
    // A machine of an earlier leader's records counts too: when leaders change often, each would
    // otherwise wait anew for the lease of one that has long been taken.
    const Seconds known = std::max(machine.listed_at, machine.there_at);
    if (machine.listed_at != begun && known > 0 && known < oldest &&
        (machine.heard_at < oldest || machine.listed_at > 0)) {
      missing.push_back(name);
    }
  }
  for (const auto& name : missing) machine_gone(name, "no longer listed");
  const Seconds forget = begun - 4 * settings_.list_lag_s - 4 * settings_.lease_s;
  std::erase_if(gone_machines_, [&](const auto& gone) { return gone.second < forget; });
}

std::unordered_map<std::string, Front::Progress> Leader::progress() const {
  std::unordered_map<std::string, Front::Progress> out;
  for (const auto& [id, job] : ledger_.jobs()) {
    const std::uint32_t running = job->running();
    if (job->done_count > 0 || running > 0) out[id] = {job->done_count, running};
  }
  return out;
}

}  // namespace larkroad::coordination
