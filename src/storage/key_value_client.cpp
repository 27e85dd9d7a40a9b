#include "storage/key_value_client.hpp"

#include <algorithm>

#include "log.hpp"

namespace larkroad::storage {
namespace {

// A node leaves this part of its share unused: the service counts by its own clock.
constexpr double kShareUsed = 0.95;
// Calls that would wait longer than this for their turn are refused at once (overload).
constexpr Seconds kLongestQueue = 1.0;

constexpr int kTooManyRequests = 429;

Status status_of(transport::Outcome outcome, int http) {
  if (outcome == transport::Outcome::not_sent) return Status::unavailable;
  if (outcome == transport::Outcome::unknown) return Status::unknown;
  switch (http) {
    case 200:
      return Status::ok;
    case 400:
      return Status::invalid;
    case 404:
      return Status::missing;
    case 409:
      return Status::conflict;
    case 410:
      return Status::too_old;
    case kTooManyRequests:
    case 503:
      return Status::unavailable;
    default:
      return Status::unknown;
  }
}

Entry parse_entry(const Json& json) {
  return {protocol::text(json, "k"), protocol::need(json, "data"), protocol::integer(json, "mark")};
}

}  // namespace

struct CertainCommit {
  Transaction txn;
  std::function<bool()> wanted;
  std::function<void(CommitReply)> done;
  RequestPriority priority = RequestPriority::scheduling;
  bool in_doubt = false;
  int tries = 0;
};

KeyValueClient::KeyValueClient(transport::Clock& clock, transport::Client& client,
                               const Settings& settings)
    : clock_(clock),
      client_(client),
      endpoint_(settings.state.text()),
      present_limits_(settings.store_limits),
      lasting_limits_(settings.lasting_store_limits()),
      limits_(settings.store_limits),
      lowered_for_(settings.lease_s),
      // Well above the few hundred milliseconds a slow answer takes, well below the lease.
      timeout_(std::clamp(settings.lease_s / 16, 0.5, 2.0)),
      refilled_at_(clock.now()) {
  const double equal = 1.0 / static_cast<double>(settings.controller_count());
  set_share(equal, equal);
  request_budget_ = limits_.rps * share_ / 2;
  write_budget_ = limits_.write_rps * write_share_ / 2;
}

void KeyValueClient::set_share(double requests, double writes) {
  share_ = requests * kShareUsed;
  write_share_ = writes * kShareUsed;
}

Seconds KeyValueClient::failing_for() const {
  return failing_since_ < 0 ? 0 : std::max(1e-9, clock_.now() - failing_since_);
}

bool KeyValueClient::worth_trying() {
  if (failing_for() < timeout_) return true;
  if (clock_.now() - probed_at_ < timeout_ / 4) return false;
  probed_at_ = clock_.now();
  return true;
}

void KeyValueClient::note(bool answered) {
  if (answered) {
    failing_since_ = -1;
    answered_ever_ = true;
  } else if (failing_since_ < 0) {
    failing_since_ = clock_.now();
  }
}

// Which limits are in force is not told; a refusal shows that the next ones may be. Other things
// bring refusals too, such as two leaders in turn, so the present limits are tried again later.
void KeyValueClient::lower_limits() {
  const bool differs = lasting_limits_.write_rps < present_limits_.write_rps ||
                       lasting_limits_.rps < present_limits_.rps;
  if (!differs || clock_.now() < lowered_until_) return;
  spdlog::info("state service: goes by its next limits, {} changes a second, for {:.0f} s",
               lasting_limits_.write_rps, lowered_for_);
  limits_ = lasting_limits_;
  lowered_until_ = clock_.now() + lowered_for_;
  lowered_for_ *= 2;
  request_budget_ = std::min(request_budget_, 0.0);
  write_budget_ = std::min(write_budget_, 0.0);
}

void KeyValueClient::refill() {
  const Seconds now = clock_.now();
  if (now >= lowered_until_) limits_ = present_limits_;
  const double passed = now - refilled_at_;
  refilled_at_ = now;
  request_budget_ = std::min(request_budget_ + passed * limits_.rps * share_, limits_.rps * share_);
  write_budget_ = std::min(write_budget_ + passed * limits_.write_rps * write_share_,
                           limits_.write_rps * write_share_);
}

void KeyValueClient::submit(transport::Request request, Seconds timeout, double changes,
                            RequestPriority priority,
                            std::function<void(Status, transport::Response)> done) {
  Call call{std::move(request), timeout, changes, clock_.now(), std::move(done)};
  refill();
  if (priority == RequestPriority::lease) {
    // A lease renewal never waits for its turn; what it takes is missing to the others.
    request_budget_ -= 1;
    write_budget_ -= changes;
    send(std::move(call));
    return;
  }
  auto& queue = waiting_[{priority, changes > 0}];
  if (static_cast<double>(queue.size()) > limits_.rps * share_ * kLongestQueue) {
    clock_.after(0, [done = std::move(call.done)] { done(Status::unavailable, {}); });
    return;
  }
  queue.push_back(std::move(call));
  pump();
}

void KeyValueClient::pump() {
  refill();
  bool short_of_requests = false;
  bool short_of_writes = false;
  for (auto& [rank, queue] : waiting_) {
    while (!queue.empty()) {
      Call& next = queue.front();
      // A transaction larger than the whole bucket goes once the bucket is full.
      const double changes = std::min(next.changes, limits_.write_rps * write_share_);
      short_of_requests = short_of_requests || request_budget_ < 1;
      short_of_writes = short_of_writes || (changes > 0 && write_budget_ < changes);
      if (!short_of_requests && !(changes > 0 && short_of_writes)) {
        request_budget_ -= 1;
        write_budget_ -= next.changes;
        Call call = std::move(next);
        queue.pop_front();
        send(std::move(call));
        continue;
      }
      // Users are told to come back; all other calls keep their place in the queue. When they lost
      // it, large transactions never had their turn beside a backlog of small ones.
      const bool somebody_waits = rank.first == RequestPriority::user;
      if (!somebody_waits || clock_.now() - next.queued_at <= kLongestQueue * 2) break;
      auto done = std::move(next.done);
      queue.pop_front();
      clock_.after(0, [done = std::move(done)] { done(Status::unavailable, {}); });
    }
  }
  if ((short_of_requests || short_of_writes) && !pump_armed_) {
    pump_armed_ = true;
    clock_.after(std::max(0.005, 1 / (limits_.rps * share_)), [this] {
      pump_armed_ = false;
      pump();
    });
  }
}

void KeyValueClient::send(Call call) {
  client_.call(
      endpoint_, std::move(call.request), call.timeout,
      [this, done = std::move(call.done)](transport::Outcome outcome,
                                          transport::Response response) {
        const Status status = status_of(outcome, response.status);
        // 429 is the service's answer too, but a 503 may be for this node alone.
        note(outcome == transport::Outcome::answered && response.status != 503);
        if (outcome == transport::Outcome::answered && response.status == kTooManyRequests) {
          lower_limits();
        }
        done(status, std::move(response));
      });
}

void KeyValueClient::get(const std::string& key, std::function<void(Status, Entry)> done,
                         RequestPriority priority) {
  submit({"GET", "/store/" + key, ""}, timeout_, 0, priority,
         [done = std::move(done)](Status status, transport::Response response) {
           Entry entry;
           if (status == Status::ok) {
             try {
               entry = parse_entry(protocol::parse_object(response.body));
             } catch (const std::exception& error) {
               spdlog::error("state service: {}", error.what());
               status = Status::unknown;
             }
           }
           done(status, std::move(entry));
         });
}

void KeyValueClient::list(const std::string& prefix, const std::string& after,
                          std::function<void(ListReply)> done, RequestPriority priority) {
  std::string target = "/store?starts=" + prefix + "&limit=1000";
  if (!after.empty()) target += "&since=" + after;
  submit({"GET", target, ""}, timeout_ * 4, 0, priority,
         [done = std::move(done)](Status status, transport::Response response) {
           ListReply reply;
           reply.status = status;
           if (status == Status::ok) {
             try {
               const Json json = protocol::parse_object(response.body);
               for (const Json& item : protocol::array(json, "pairs")) {
                 reply.entries.push_back(parse_entry(item));
               }
               reply.more = protocol::find(json, "more") && protocol::boolean(json, "more");
               reply.revision = protocol::integer(json, "ledger");
             } catch (const std::exception& error) {
               spdlog::error("state service: {}", error.what());
               reply.status = Status::unknown;
             }
           }
           done(std::move(reply));
         });
}

void KeyValueClient::commit(const Transaction& txn, std::function<void(CommitReply)> done,
                            RequestPriority priority) {
  Json guards = Json::array();
  for (const auto& guard : txn.preconditions)
    guards.push_back({{"k", guard.key}, {"mark", guard.revision}});
  Json apply = Json::array();
  for (const auto& write : txn.writes) {
    Json item{{"write", write.key}, {"data", write.data}};
    if (write.lease) item["hold"] = *write.lease;
    apply.push_back(std::move(item));
  }
  for (const auto& key : txn.deletes) apply.push_back({{"drop", key}});
  std::string body = Json{{"guards", std::move(guards)}, {"apply", std::move(apply)}}.dump();
  submit({"POST", "/commit", std::move(body)}, timeout_, static_cast<double>(txn.changes()),
         priority, [this, done = std::move(done)](Status status, transport::Response response) {
           CommitReply reply;
           reply.status = status;
           try {
             if (status == Status::ok) {
               reply.revision = protocol::integer(protocol::parse_object(response.body), "ledger");
             } else if (status == Status::conflict) {
               const Json json = protocol::parse_object(response.body);
               reply.failed = protocol::array(json, "failed").get<std::vector<std::string>>();
             } else if (status == Status::invalid) {
               if (response.body.find("no such lease") != std::string::npos) {
                 reply.status = Status::no_lease;
               } else {
                 spdlog::error("state service refuses a transaction: {}", response.body);
                 lower_limits();
               }
             }
           } catch (const std::exception& error) {
             spdlog::error("state service: {}", error.what());
             reply.status = Status::unknown;
           }
           done(std::move(reply));
         });
}

void KeyValueClient::commit_until_certain(Transaction txn, std::function<bool()> wanted,
                                          std::function<void(CommitReply)> done,
                                          RequestPriority priority) {
  try_commit_until_certain(std::make_shared<CertainCommit>(
      CertainCommit{std::move(txn), std::move(wanted), std::move(done), priority}));
}

void KeyValueClient::try_commit_until_certain(std::shared_ptr<CertainCommit> job) {
  commit(
      job->txn,
      [this, job](CommitReply reply) {
        const auto again = [this, job] {
          if (!job->wanted()) {
            job->done({Status::unknown, 0, {}});
            return;
          }
          const Seconds pause = std::min(0.05 * (1 << std::min(job->tries++, 4)), 0.5);
          clock_.after(pause, [this, job] { try_commit_until_certain(job); });
        };
        switch (reply.status) {
          case Status::unknown:
            job->in_doubt = true;
            again();
            return;
          case Status::unavailable:
            again();
            return;
          case Status::conflict: {
            // Had it been carried out, the key of its first write would have changed. What stands
            // there unchanged may be the same words, but of an earlier write.
            if (!job->in_doubt || job->txn.writes.empty() ||
                (job->txn.has_precondition_on(job->txn.writes.front().key) &&
                 !reply.failed_machines(job->txn.writes.front().key))) {
              job->done(std::move(reply));
              return;
            }
            // Did an earlier copy of this very transaction make its own guards fail?
            const Write& first = job->txn.writes.front();
            get(
                first.key,
                [job, reply, again](Status status, Entry entry) {
                  if (status == Status::ok && entry.data == job->txn.writes.front().data) {
                    job->done({Status::ok, entry.revision, {}});
                  } else if (status == Status::ok || status == Status::missing) {
                    job->done(reply);
                  } else {
                    again();
                  }
                },
                job->priority);
            return;
          }
          default:
            job->done(std::move(reply));
        }
      },
      job->priority);
}

void KeyValueClient::grant(Seconds life, std::function<void(Status, std::uint64_t)> done) {
  const auto life_ms = static_cast<std::uint64_t>(std::clamp(life * 1000, 100.0, 600'000.0));
  submit({"POST", "/grants", Json{{"lifeMs", life_ms}}.dump()}, timeout_, 0, RequestPriority::lease,
         [done = std::move(done)](Status status, transport::Response response) {
           std::uint64_t lease = 0;
           if (status == Status::ok) {
             try {
               lease = protocol::integer(protocol::parse_object(response.body), "hold");
             } catch (const std::exception& error) {
               spdlog::error("state service: {}", error.what());
               status = Status::unknown;
             }
           }
           done(status, lease);
         });
}

void KeyValueClient::extend(std::uint64_t lease, std::function<void(Status)> done) {
  submit({"POST", "/grants/" + std::to_string(lease) + "/extend", ""}, timeout_, 0,
         RequestPriority::lease,
         [done = std::move(done)](Status status, const transport::Response&) { done(status); });
}

void KeyValueClient::release(std::uint64_t lease) {
  submit({"DELETE", "/grants/" + std::to_string(lease), ""}, timeout_, 0,
         RequestPriority::scheduling, [](Status, const transport::Response&) {});
}

void KeyValueClient::watch(const std::string& prefix, std::uint64_t since, Seconds block,
                           std::function<void(WatchReply)> done, RequestPriority priority) {
  const std::string target = "/watch?starts=" + prefix + "&since=" + std::to_string(since) +
                             "&blockMs=" + std::to_string(static_cast<long>(block * 1000));
  submit({"GET", target, ""}, block + timeout_, 0, priority,
         [done = std::move(done)](Status status, transport::Response response) {
           WatchReply reply;
           reply.status = status;
           if (status == Status::ok) {
             try {
               const Json json = protocol::parse_object(response.body);
               reply.revision = protocol::integer(json, "ledger");
               for (const Json& item : protocol::array(json, "events")) {
                 Event event;
                 event.revision = protocol::integer(item, "mark");
                 if (protocol::find(item, "drop") != nullptr) {
                   event.key = protocol::text(item, "drop");
                   event.deleted = true;
                 } else {
                   event.key = protocol::text(item, "write");
                   event.data = protocol::need(item, "data");
                 }
                 reply.events.push_back(std::move(event));
               }
             } catch (const std::exception& error) {
               spdlog::error("state service: {}", error.what());
               reply.status = Status::unknown;
             }
           }
           done(std::move(reply));
         });
}

}  // namespace larkroad::storage
