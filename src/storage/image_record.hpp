/// The record of the images on a machine, stored under `m/MACHINE`. It only saves fetches after a
/// failover: a record that is lost or out of date breaks nothing.
#pragma once

#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

/// An image in a machine's cache.
struct CachedImage {
  std::string name;
  double size_gb = 0;

  friend bool operator==(const CachedImage&, const CachedImage&) = default;
};

using Images = std::vector<CachedImage>;  ///< least recently used first

Json encode(const Images& images);

/// Throws RecordError.
Images decode_images(const Json& data);

}  // namespace larkroad::storage
