/// @file
/// The scheduler's interface to the cloud's capacity.
#pragma once

#include <string>

#include "storage/job.h"

namespace fawnwheel::coordination {

/// Tells whether the scheduler may wait for a new machine from the cloud. Implemented by
/// `Autoscaler`.
class CloudAvailability {
  public:
    virtual ~CloudAvailability() = default;
    /// Whether the cloud may still have machines for the job in this zone, or in any zone if `zone`
    /// is empty.
    [[nodiscard]] virtual bool canProvision(const storage::Job& job,
                                            const std::string& zone) const = 0;
};

}  // namespace fawnwheel::coordination
