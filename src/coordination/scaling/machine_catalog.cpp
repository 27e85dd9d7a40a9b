#include "coordination/scaling/machine_catalog.hpp"

#include "log.hpp"

namespace larkroad::coordination {
namespace {

constexpr Seconds kCloudTimeout = 5;
constexpr int kHttpOk = 200;
// How long a controller waits before it reads the catalog again, as a part of the heartbeat
// interval: a few tries a second of the store and the cloud, from all controllers together.
constexpr double kRetryRatio = 1.0 / 4;

}  // namespace

void MachineCatalog::start() { read_stored(); }

void MachineCatalog::read_stored() {
  store_.get(storage::kCatalogKey, [this](storage::Status status, const storage::Entry& entry) {
    handle_stored(status, entry);
  });
}

void MachineCatalog::handle_stored(storage::Status status, const storage::Entry& entry) {
  if (known()) return;
  if (status == storage::Status::ok && adopt_stored(entry)) return;
  if (status == storage::Status::missing) refresh();
  clock_.after(settings_.heartbeat_interval_s * kRetryRatio, [this] {
    if (!known()) read_stored();
  });
}

// Returns whether the entry holds a valid catalog.
bool MachineCatalog::adopt_stored(const storage::Entry& entry) {
  stored_ = true;
  try {
    adopt(protocol::parse_catalog(entry.data.dump()));
  } catch (const std::exception& error) {
    spdlog::error("stored machine catalog is invalid: error=\"{}\"", error.what());
    return false;
  }
  return true;
}

void MachineCatalog::refresh() {
  client_.call(settings_.cloud.text(), {"GET", protocol::kCatalogPath, ""}, kCloudTimeout,
               [this](transport::Outcome outcome, const transport::Response& response) {
                 handle_answer(outcome, response);
               });
}

void MachineCatalog::handle_answer(transport::Outcome outcome,
                                   const transport::Response& response) {
  if (outcome != transport::Outcome::answered || response.status != kHttpOk) return;
  try {
    adopt(protocol::parse_catalog(response.body));
  } catch (const std::exception& error) {
    spdlog::error("the cloud's machine catalog is invalid: error=\"{}\"", error.what());
    return;
  }
  if (!stored_) store();
}

void MachineCatalog::adopt(std::vector<protocol::MachineType> types) {
  if (types.empty()) return;
  types_ = std::move(types);
  on_change_();
}

void MachineCatalog::store() {
  const auto record = storage::Json::parse(protocol::encode_catalog(types_));
  const double most_bytes = settings_.lasting_store_limits().value_bytes();
  if (!storage::fits_value(record, most_bytes)) {
    spdlog::info(
        "machine catalog is too large to be stored, controllers ask the cloud: bytes_max={}",
        most_bytes);
    stored_ = true;
    return;
  }
  storage::Transaction txn;
  txn.preconditions.push_back({storage::kCatalogKey, 0});
  txn.writes.push_back({storage::kCatalogKey, record, std::nullopt});
  store_.commit(txn, [this](const storage::CommitReply& reply) {
    stored_ = reply.status == storage::Status::ok || reply.status == storage::Status::conflict;
  });
}

}  // namespace larkroad::coordination
