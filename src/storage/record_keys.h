/// @file
/// The keys under which the durable records are kept in the state service.
///
/// All active records share one prefix, so that one watch replicates them all. Terminal records
/// have another prefix and are never deleted.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "storage/partition.h"

namespace fawnwheel::storage {

namespace keys {
inline constexpr auto activePrefix = "live/";
inline constexpr auto term = "live/term";
inline constexpr auto catalog = "live/catalog";
[[nodiscard]] std::string job(const std::string& id);
[[nodiscard]] std::string slice(const std::string& id, std::uint32_t index);
[[nodiscard]] std::string machine(const std::string& id);
[[nodiscard]] std::string partition(PartitionId partition);
[[nodiscard]] std::string node(const std::string& name);
[[nodiscard]] std::string quota(const std::string& team);
/// The record under this key is never deleted. It states that the node has run a version that
/// supports the formats added since the first version.
[[nodiscard]] std::string jobDependenciesGate(const std::string& node);
/// The same for a version that supports transferring machines together with their tasks.
[[nodiscard]] std::string machineTransfersGate(const std::string& node);
[[nodiscard]] std::string terminal(const std::string& id);
}  // namespace keys

/// The kind of object that an active record describes.
enum class RecordKind {
    unknown,  ///< written by a version with other kinds of records
    catalog,
    term,
    job,
    slice,
    machine,
    partition,
    node,
    quota,
    jobDependenciesGate,
    machineTransfersGate,
};

/// The parsed key of an active record.
struct RecordKey {
    RecordKind kind = RecordKind::unknown;
    std::string name;  ///< the part of the key after the prefix of the kind
};

[[nodiscard]] RecordKey parseKey(std::string_view key);

/// Parses a text that consists of an unsigned decimal number; none for any other text.
[[nodiscard]] std::optional<std::uint32_t> parseNumber(std::string_view text);

}  // namespace fawnwheel::storage
