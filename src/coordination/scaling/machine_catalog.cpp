#include "coordination/scaling/machine_catalog.hpp"

#include "log.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;

constexpr Seconds kCloudTimeout = 5;
// Delay before the catalog is read again, in heartbeat intervals: all controllers together send the
// store and the cloud a few requests a second.
constexpr double kReadRetryIntervals = 1.0 / 4;

}  // namespace

void MachineCatalog::start() { read_stored(); }

void MachineCatalog::read_stored() {
  store_.get(storage::kCatalogKey, [this](storage::Status status, const storage::Entry& entry) {
    handle_stored(status, entry);
  });
}

void MachineCatalog::handle_stored(storage::Status status, const storage::Entry& entry) {
  if (known()) return;
  if (status == storage::Status::ok && apply_stored(entry)) return;
  if (status == storage::Status::missing) refresh();
  clock_.after(settings_.heartbeat_interval_s * kReadRetryIntervals, [this] {
    if (!known()) read_stored();
  });
}

// Applies the stored catalog. Returns whether it is valid.
bool MachineCatalog::apply_stored(const storage::Entry& entry) {
  stored_ = true;
  try {
    set_types(protocol::parse_catalog(entry.data.dump()));
  } catch (const std::exception& error) {
    spdlog::error("stored machine catalog is invalid: error=\"{}\"", error.what());
    return false;
  }
  return true;
}

void MachineCatalog::refresh() {
  client_.call(settings_.cloud.text(), {"GET", protocol::kCatalogPath, ""}, kCloudTimeout,
               [this](transport::Outcome outcome, const transport::Response& response) {
                 handle_response(outcome, response);
               });
}

void MachineCatalog::handle_response(transport::Outcome outcome,
                                     const transport::Response& response) {
  if (outcome != transport::Outcome::answered || response.status != http_status::kOk) return;
  try {
    set_types(protocol::parse_catalog(response.body));
  } catch (const std::exception& error) {
    spdlog::error("machine catalog from the cloud is invalid: error=\"{}\"", error.what());
    return;
  }
  if (!stored_) store();
}

void MachineCatalog::set_types(std::vector<protocol::MachineType> types) {
  if (types.empty()) return;
  types_ = std::move(types);
  on_change_();
}

void MachineCatalog::store() {
  const auto record = storage::Json::parse(protocol::encode_catalog(types_));
  const double max_bytes = settings_.strictest_store_limits().value_bytes();
  if (!storage::fits_value(record, max_bytes)) {
    spdlog::info(
        "machine catalog too large for the key-value store, controllers read it from the cloud: "
        "bytes_max={}",
        max_bytes);
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
