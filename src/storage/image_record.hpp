/// The record of the images in a machine's cache, stored under `m/MACHINE`. It only saves image
/// fetches after a failover, so a lost or outdated record does no harm.
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
