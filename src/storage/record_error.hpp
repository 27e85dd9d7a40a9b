/// Errors of stored records that cannot be decoded, and the reader that reports them.
///
/// A record that cannot be decoded is never guessed at: its reader logs the error and skips the
/// record, or, where acting without the record could run a task twice, gives up its leadership.
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
  /// The stored name of the field at fault.
  const std::string& field() const { return field_; }

 private:
  std::string record_;
  std::string field_;
};

/// Reads the fields of one stored record; every error is thrown as a RecordError.
///
/// Refers to the data, which must outlive it.
class RecordReader {
 public:
  /// `record`: the kind of record, for errors; a string literal.
  RecordReader(const char* record, const Json& data) : record_(record), data_(data) {}
  RecordReader(const char* record, Json&& data) = delete;

  std::uint64_t integer(const char* field) const {
    return read(field, [&] { return protocol::integer(data_, field); });
  }
  bool boolean(const char* field) const {
    return read(field, [&] { return protocol::boolean(data_, field); });
  }
  /// False when the field is absent, as fields that are rarely true are left out.
  bool boolean_or_false(const char* field) const {
    return protocol::find(data_, field) != nullptr && boolean(field);
  }
  /// A number that is finite and not negative.
  double amount(const char* field) const {
    return read(field, [&] { return protocol::amount(data_, field); });
  }

  /// Calls `decode_item` with each item of a list; an absent list has none.
  template <typename DecodeItem>
  void for_each(const char* field, DecodeItem decode_item) const {
    const Json* items = protocol::find(data_, field);
    if (items == nullptr) return;
    for (const Json& item : *items) {
      read(field, [&] { decode_item(item); });
    }
  }

  /// Returns what `decode` makes of the value of a field that must be present.
  template <typename Decode>
  std::invoke_result_t<Decode, const Json&> decode(const char* field, Decode decode_value) const {
    return read(field, [&] { return decode_value(protocol::need(data_, field)); });
  }

 private:
  /// Runs `function`, and names the field in whatever it throws.
  template <typename Function>
  std::invoke_result_t<Function> read(const char* field, Function function) const {
    try {
      return function();
    } catch (const std::exception& error) {
      throw RecordError(record_, field, error.what());
    }
  }

  const char* record_;
  const Json& data_;
};

}  // namespace larkroad::storage
