/// The error for a stored record that cannot be decoded, and the reader that throws it.
///
/// No defaults are substituted for a record that cannot be decoded. The caller logs the error and
/// skips the record or, where acting without the record could run a task twice, resigns leadership.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>

#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

/// A stored record that cannot be decoded.
class RecordError : public std::runtime_error {
 public:
  RecordError(const std::string& record, const std::string& field, const std::string& reason)
      : std::runtime_error(record + " record, field " + field + ": " + reason),
        record_(record),
        field_(field) {}

  /// The kind of record, such as "placement".
  const std::string& record() const { return record_; }
  /// The stored name of the invalid field.
  const std::string& field() const { return field_; }

 private:
  std::string record_;
  std::string field_;
};

/// Returns the start of a stored value as JSON, for error messages.
inline std::string describe(const Json& value) {
  constexpr size_t kMaxBytes = 200;
  constexpr int kNoIndent = -1;
  std::string text = value.dump(kNoIndent, ' ', true, Json::error_handler_t::replace);
  if (text.size() > kMaxBytes) text = text.substr(0, kMaxBytes) + "...";
  return text;
}

/// Reads the fields of one stored record. Every error is thrown as a RecordError.
///
/// Keeps a reference to the data, which must outlive the reader.
class RecordReader {
 public:
  /// `record`: the kind of record, for error messages; must be a string literal.
  RecordReader(const char* record, const Json& data) : record_(record), data_(data) {}
  RecordReader(const char* record, Json&& data) = delete;

  std::uint64_t integer(const char* field) const {
    return read(field, [&] { return protocol::integer(data_, field); });
  }
  bool boolean(const char* field) const {
    return read(field, [&] { return protocol::boolean(data_, field); });
  }
  /// False when the field is absent: rarely set flags are only stored when true.
  bool boolean_or_false(const char* field) const {
    return protocol::find(data_, field) != nullptr && boolean(field);
  }
  /// Reads a finite, non-negative number.
  double amount(const char* field) const {
    return read(field, [&] { return protocol::amount(data_, field); });
  }

  /// Calls `decode_item` with each item of a list. An absent list is treated as empty.
  /// `expected`: the form of an item, for error messages.
  template <typename DecodeItem>
  void for_each(const char* field, const char* expected, DecodeItem decode_item) const {
    const Json* items = protocol::find(data_, field);
    if (items == nullptr) return;
    for (const Json& item : *items) {
      try {
        decode_item(item);
      } catch (const std::exception& error) {
        throw RecordError(record_, field,
                          "each item must be " + std::string(expected) + ", found " +
                              describe(item) + ": " + error.what());
      }
    }
  }

  /// Returns the result of `decode_value` for the value of a required field.
  template <typename Decode>
  std::invoke_result_t<Decode, const Json&> decode(const char* field, Decode decode_value) const {
    return read(field, [&] { return decode_value(protocol::required_field(data_, field)); });
  }

 private:
  /// Runs `function` and converts any exception into a RecordError that names the field and the
  /// value found in it.
  template <typename Function>
  std::invoke_result_t<Function> read(const char* field, Function function) const {
    try {
      return function();
    } catch (const std::exception& error) {
      throw RecordError(record_, field, error.what() + found(field));
    }
  }

  std::string found(const char* field) const {
    if (!data_.is_object()) return ", the record must be an object, found " + describe(data_);
    const Json* value = protocol::find(data_, field);
    return value == nullptr ? "" : ", found " + describe(*value);
  }

  const char* record_;
  const Json& data_;
};

}  // namespace larkroad::storage
