#include "coordination/records/image_recorder.hpp"

#include <algorithm>
#include <compare>

namespace larkroad::coordination {
namespace {

struct ImageUse {
  Seconds last_used = 0;
  std::string name;
  double gb = 0;

  // clang-tidy 14 mistakes the zero in the comparison for a null pointer and a boolean.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
  auto operator<=>(const ImageUse&) const = default;
};

}  // namespace

ImageRecorder::ImageRecorder(transport::Clock& clock, storage::KeyValueClient& store,
                             const Leadership& leadership, const Settings& settings,
                             const TransactionLimit& limit, ClusterState& cluster)
    : store_(store),
      leadership_(leadership),
      settings_(settings),
      limit_(limit),
      cluster_(cluster),
      scope_(clock) {}

void ImageRecorder::begin_term() {
  scope_.restart();
  transaction_in_flight_ = false;
}

void ImageRecorder::end_term() { scope_.restart(); }

void ImageRecorder::record() {
  if (transaction_in_flight_ || !leadership_.is_leader()) return;
  storage::Transaction transaction;
  transaction.preconditions.push_back({storage::kLeaderKey, leadership_.fencing_token()});
  std::vector<std::string> names;
  for (auto& [name, machine] : cluster_.machines()) {
    if (!machine.images_changed) continue;
    if (!limit_.has_room(transaction)) break;
    machine.images_changed = false;
    names.push_back(name);
    transaction.writes.push_back(
        {storage::kMachinePrefix + name, storage::encode(images_to_record(machine)), std::nullopt});
  }
  if (names.empty()) return;
  transaction_in_flight_ = true;
  const auto on_reply = [this, names](const storage::CommitReply& reply) {
    transaction_in_flight_ = false;
    if (reply.status == storage::Status::ok) return;
    for (const auto& name : names) {
      if (Machine* machine = cluster_.find_machine(name)) machine->images_changed = true;
    }
  };
  store_.commit(transaction, scope_.wrap(on_reply), storage::RequestPriority::background);
}

// Least recently used images first. When not all fit into a record, these are left out.
storage::Images ImageRecorder::images_to_record(const Machine& machine) const {
  std::vector<ImageUse> by_use;
  for (const auto& [image, entry] : machine.images) {
    by_use.push_back({entry.second, image, entry.first});
  }
  std::sort(by_use.begin(), by_use.end());
  storage::Images images;
  for (auto& use : by_use) images.push_back({std::move(use.name), use.gb});
  const double value_bytes = settings_.strictest_store_limits().value_bytes();
  while (images.size() > 1 && !storage::fits_value(storage::encode(images), value_bytes)) {
    images.erase(images.begin());
  }
  return images;
}

}  // namespace larkroad::coordination
