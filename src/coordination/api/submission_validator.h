/// @file
/// Decodes submissions and decides from the settings, the limits and the catalog whether their jobs
/// may be accepted. Whether such a job exists already is not considered here.
#pragma once

#include <optional>
#include <string>

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// A submission whose fields are complete and in range.
struct DecodedSubmission {
    protocol::JobSpec spec;
    bool textValid = true;  ///< whether all text is UTF-8
};

/// Why a job must not be accepted.
enum class SubmissionError {
    malformed,      ///< its text is not UTF-8, or its record would exceed the limits
    unsatisfiable,  ///< it can never run: unknown team, no machine type fits, or above the quota
    undecidable,    ///< the machine types are not known yet
};

/// Checks submissions. Errors do not apply to jobs that were accepted earlier, under other settings
/// or by another version.
class SubmissionValidator {
  public:
    explicit SubmissionValidator(Context& context) : context_(context) {}

    /// None if the body is not CBOR, not a map, or a field is missing or invalid.
    [[nodiscard]] static std::optional<DecodedSubmission> decode(const std::string& body);
    /// The first error of a submission, or none.
    [[nodiscard]] std::optional<SubmissionError> validate(
        const DecodedSubmission& submission) const;
    /// The job as it is recorded when it is accepted; without a partition.
    [[nodiscard]] Job makeJob(const protocol::JobSpec& spec) const;

  private:
    /// Whether the job's record and the conditions for creating it are within the state service's
    /// limits.
    [[nodiscard]] bool fitsRecordLimits(const protocol::JobSpec& spec) const;
    /// Whether any machine type can run one of the job's tasks.
    [[nodiscard]] bool fitsSomeMachineType(const protocol::JobSpec& spec) const;
    /// Whether the tasks that have to run at once are within the team's quota.
    [[nodiscard]] static bool fitsQuota(const protocol::JobSpec& spec, const config::Team& team);

    Context& context_;
};

}  // namespace fawnwheel::coordination
