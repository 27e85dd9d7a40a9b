// Users' calls. Every node answers them alone, by guarded transactions and fresh reads.
#pragma once

#include <list>
#include <string>
#include <unordered_map>

#include "coordination/scaling/machine_catalog.hpp"
#include "protocol/job_messages.hpp"
#include "settings.hpp"
#include "storage/job_cache.hpp"
#include "storage/key_value_client.hpp"
#include "storage/records.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

// Why a submission can never run, or empty.
std::string never_runnable(const protocol::JobSpec& spec, const Settings& settings,
                           const std::vector<protocol::MachineType>& types);

class UserApi {
 public:
  UserApi(transport::Clock& clock, storage::KeyValueClient& store, const MachineCatalog& catalog,
          const Settings& settings)
      : clock_(clock),
        store_(store),
        catalog_(catalog),
        settings_(settings),
        view_(clock, store, settings) {}

  void handle(transport::Request request, transport::Respond respond);

  // What the leader tells of jobs that are running, for display only.
  struct Progress {
    std::uint32_t done = 0;
    std::uint32_t running = 0;
  };
  void set_progress(std::unordered_map<std::string, Progress> progress) {
    progress_ = std::move(progress);
  }
  std::function<bool()> healthy = [] { return true; };
  // Whether every controller knows services; until then none is accepted.
  std::function<bool()> services_known = [] { return true; };
  // A cancellation has become durable, before its user is told.
  std::function<void(const std::string& id)> on_cancelled = [](const std::string&) {};

 private:
  using Respond = transport::Respond;
  // What is known of a job, by a read made now.
  struct Known {
    storage::Status status = storage::Status::unknown;  // ok, missing, or no answer to be had
    protocol::JobState state = protocol::JobState::queued;
    std::uint32_t tasks = 0;     // of a job that is over
    std::uint64_t revision = 0;  // of a job that is not over
    storage::JobRecord record;
  };
  // Answers by what needs no read: false when one is needed.
  bool known_without_reading(const std::string& id, const std::function<void(const Known&)>& done);
  void look_up(const std::string& id, std::function<void(const Known&)> done);
  // The same without the record, by a read that all questions share.
  void look_up_shared(const std::string& id, std::function<void(const Known&)> done);
  void look_up_finished(const std::string& id, std::function<void(const Known&)> done);
  protocol::JobState state_of(const std::string& id, bool cancelled) const;
  void submit(const std::string& body, Respond respond);
  // Refuses for good what can never be accepted, unless it was accepted before.
  void refuse(const std::string& id, int status, const std::string& why, Respond respond);
  // Asks the user to come back, unless the job was accepted before.
  void put_off(const std::string& id, const std::string& why, Respond respond);
  void accept(const protocol::JobSpec& spec, Seconds until, Respond respond);
  void query(const std::string& id, Respond respond);
  void cancel(const std::string& id, Seconds until, Respond respond);
  void answer_known(const std::string& id, const Known& known, const Respond& respond);
  void busy(const Respond& respond);
  void remember(const std::string& id, const storage::FinishedRecord& record);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const MachineCatalog& catalog_;
  const Settings& settings_;
  storage::JobCache view_;
  std::unordered_map<std::string, Progress> progress_;
  // Jobs that are over never change, so they are answered from memory.
  std::unordered_map<std::string, storage::FinishedRecord> finished_;
  std::list<std::string> finished_order_;
};

}  // namespace larkroad::coordination
