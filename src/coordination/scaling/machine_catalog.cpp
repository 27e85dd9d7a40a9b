#include "coordination/scaling/machine_catalog.hpp"

#include "log.hpp"

namespace larkroad::coordination {
namespace {

constexpr Seconds kCloudTimeout = 5;

}  // namespace

void MachineCatalog::start() { read_state(); }

void MachineCatalog::read_state() {
  store_.get(storage::kCatalogKey, [this](storage::Status status, storage::Entry entry) {
    if (known()) return;
    if (status == storage::Status::ok) {
      try {
        stored_ = true;
        adopt(protocol::parse_catalog(entry.data.dump()));
        return;
      } catch (const std::exception& error) {
        spdlog::error("stored catalog: {}", error.what());
      }
    }
    if (status == storage::Status::missing) refresh();
    // A few tries a second of either service, shared by all nodes.
    clock_.after(settings_.heartbeat_interval_s / 4, [this] {
      if (!known()) read_state();
    });
  });
}

void MachineCatalog::refresh() {
  client_.call(settings_.cloud.text(), {"GET", protocol::kCatalogPath, ""}, kCloudTimeout,
               [this](transport::Outcome outcome, transport::Response response) {
                 if (outcome != transport::Outcome::answered || response.status != 200) return;
                 try {
                   adopt(protocol::parse_catalog(response.body));
                 } catch (const std::exception& error) {
                   spdlog::error("cloud: {}", error.what());
                   return;
                 }
                 if (stored_) return;
                 const auto record = storage::Json::parse(protocol::encode_catalog(types_));
                 const double most = settings_.lasting_store_limits().value_bytes();
                 if (!storage::fits_value(record, most)) {
                   spdlog::info("the catalog is too large to be stored; nodes ask the cloud");
                   stored_ = true;
                   return;
                 }
                 storage::Transaction txn;
                 txn.preconditions.push_back({storage::kCatalogKey, 0});
                 txn.writes.push_back({storage::kCatalogKey, record, std::nullopt});
                 store_.commit(txn, [this](storage::CommitReply reply) {
                   stored_ = reply.status == storage::Status::ok ||
                             reply.status == storage::Status::conflict;
                 });
               });
}

void MachineCatalog::adopt(std::vector<protocol::MachineType> types) {
  if (types.empty()) return;
  types_ = std::move(types);
  on_change();
}

}  // namespace larkroad::coordination
