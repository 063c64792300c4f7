/// @file
/// What the scheduler has to know of the cloud's capacity.
#pragma once

#include <string>

#include "storage/job.h"

namespace fawnwheel::coordination {

/// Tells whether waiting for a new machine is reasonable. Implemented by provisioning.
class CloudAvailability {
  public:
    virtual ~CloudAvailability() = default;
    /// Whether the cloud may still have machines for the job in this zone (empty: in any).
    [[nodiscard]] virtual bool canProvision(const storage::Job& job,
                                            const std::string& zone) const = 0;
};

}  // namespace fawnwheel::coordination
