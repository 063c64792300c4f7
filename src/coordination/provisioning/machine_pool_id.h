/// @file
/// Identifies the machine pools from which the cloud provisions.
#pragma once

#include <compare>
#include <string>

namespace fawnwheel::coordination {

/// A machine type in a zone, as spot capacity, which the cloud may interrupt, or on demand.
struct MachinePoolId {
    std::string type;
    std::string zone;
    bool spot = false;
    // The linter mistakes the defaulted operator for a comparison with a null pointer.
    auto operator<=>(const MachinePoolId&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace fawnwheel::coordination
