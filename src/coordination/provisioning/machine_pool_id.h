/// @file
/// Names the machine pools from which the cloud provisions.
#pragma once

#include <compare>
#include <string>

namespace fawnwheel::coordination {

/// What the cloud is asked for: a type of machine in a zone, with or without the right to withdraw
/// it.
struct MachinePoolId {
    std::string type;
    std::string zone;
    bool spot = false;
    // The linter takes the operator for a comparison with zero.
    auto operator<=>(const MachinePoolId&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace fawnwheel::coordination
