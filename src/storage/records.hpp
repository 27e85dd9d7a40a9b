/// All stored records and their keys. Each record's struct maps the stored field names, which stay
/// as they are, to the terms of the code; record_keys.hpp lists what is stored where.
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
