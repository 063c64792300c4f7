/// @file
/// The durable records: their keys, their values, how they are applied and how large slices may be.
#pragma once

#include "storage/record_codec.h"
#include "storage/record_keys.h"
#include "storage/record_replay.h"
#include "storage/slice_size.h"
