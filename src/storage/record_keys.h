/// @file
/// The keys under which the durable records are kept in the state service.
///
/// Every active record has one common prefix, so that one watch replicates them all; terminal
/// records are apart and are kept for ever.
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
/// Its record says, for ever, that a node has run a version that knows the formats added since the
/// first one.
[[nodiscard]] std::string jobDependenciesGate(const std::string& node);
/// The same for a version that knows machines which are transferred with their tasks.
[[nodiscard]] std::string machineTransfersGate(const std::string& node);
[[nodiscard]] std::string terminal(const std::string& id);
}  // namespace keys

/// What an active record is about.
enum class RecordKind {
    unknown,  ///< of a version that is not known here
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

/// An active record's key, taken apart.
struct RecordKey {
    RecordKind kind = RecordKind::unknown;
    std::string name;  ///< what follows the prefix of the kind
};

[[nodiscard]] RecordKey parseKey(std::string_view key);

/// A decimal number without sign that is the whole text, or none.
[[nodiscard]] std::optional<std::uint32_t> parseNumber(std::string_view text);

}  // namespace fawnwheel::storage
