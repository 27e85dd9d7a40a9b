#include "storage/image_record.hpp"

#include "storage/record_error.hpp"

namespace larkroad::storage {
namespace {

constexpr const char* kRecordKind = "machine images";
constexpr const char* kImages = "images";

Json encode_image(const CachedImage& image) { return Json::array({image.name, image.size_gb}); }

CachedImage decode_image(const Json& item) {
  return {item.at(0).get<std::string>(), item.at(1).get<double>()};
}

Images decode_list(const Json& items) {
  if (!items.is_array()) throw protocol::Malformed("must be a list of [name, size in GB]");
  Images images;
  for (const Json& item : items) images.push_back(decode_image(item));
  return images;
}

}  // namespace

Json encode(const Images& images) {
  Json items = Json::array();
  for (const CachedImage& image : images) items.push_back(encode_image(image));
  return Json{{kImages, std::move(items)}};
}

Images decode_images(const Json& data) {
  return RecordReader(kRecordKind, data).decode(kImages, decode_list);
}

}  // namespace larkroad::storage
