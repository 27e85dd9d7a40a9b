/// Includes all stored records and their keys. Stored field names never change; each record's
/// source file maps them to the names used in the code. record_keys.hpp lists the keys.
#pragma once

#include "storage/finished_record.hpp"
#include "storage/image_record.hpp"
#include "storage/job_record.hpp"
#include "storage/placement_record.hpp"
#include "storage/record_error.hpp"
#include "storage/record_keys.hpp"
#include "storage/record_size.hpp"
#include "storage/relay_record.hpp"
#include "storage/version_record.hpp"
