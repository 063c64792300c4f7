#include "coordination/api/submission_validator.h"

#include <algorithm>

#include "coordination/scheduling/placement.h"
#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

constexpr double quotaTolerance = 1e-9;
constexpr std::size_t comparesPerNewJob = 2;  // the absence of its active and terminal records

}  // namespace

std::optional<DecodedSubmission> SubmissionValidator::decode(const std::string& body) {
    auto map = protocol::decodeCbor(body);
    const bool textValid = map.has_value();
    if (!textValid) map = protocol::decodeCbor(body, protocol::TextEncoding::any);
    if (!map) return std::nullopt;
    auto parsed = protocol::parseJobSpec(*map);
    auto* spec = std::get_if<protocol::JobSpec>(&parsed);
    if (spec == nullptr) return std::nullopt;
    return DecodedSubmission{std::move(*spec), textValid};
}

std::optional<SubmissionError> SubmissionValidator::validate(
    const DecodedSubmission& submission) const {
    const auto& spec = submission.spec;
    if (!submission.textValid || !fitsRecordLimits(spec)) return SubmissionError::malformed;
    const auto* team = context_.findTeam(spec.team);
    if (team == nullptr && !context_.settings.teams.empty()) return SubmissionError::unsatisfiable;
    if (context_.catalog.empty()) return SubmissionError::undecidable;
    if (!fitsSomeMachineType(spec)) return SubmissionError::unsatisfiable;
    if (team != nullptr && !fitsQuota(spec, *team)) return SubmissionError::unsatisfiable;
    return std::nullopt;
}

Job SubmissionValidator::makeJob(const protocol::JobSpec& spec) const {
    Job job;
    job.spec = spec;
    job.submitted = context_.timers.wallNow();
    job.sliceSize = storage::sliceSizeFor(
        spec, {context_.settings.maxValueKb, context_.settings.stateWritesPerSecond},
        context_.jobDependenciesEnabled(*context_.clusterState.lock()));
    return job;
}

bool SubmissionValidator::fitsRecordLimits(const protocol::JobSpec& spec) const {
    Job job = makeJob(spec);
    job.partition = context_.partitionCount();
    return protocol::jsonSize(storage::jobValue(job)) <= context_.settings.maxValueBytes() &&
           spec.dependencies.size() + comparesPerNewJob <=
               context_.settings.maxTransactionCompares();
}

bool SubmissionValidator::fitsSomeMachineType(const protocol::JobSpec& spec) const {
    return std::any_of(
        context_.catalog.begin(), context_.catalog.end(), [&spec](const MachineType& type) {
            const bool offeredInZone = !spec.zone || std::find(type.zones.begin(), type.zones.end(),
                                                               *spec.zone) != type.zones.end();
            return offeredInZone &&
                   Placement::typeAllowed(spec, type, spec.zone.value_or(""), false);
        });
}

bool SubmissionValidator::fitsQuota(const protocol::JobSpec& spec, const config::Team& team) {
    const double concurrentTasks = spec.kind == protocol::JobKind::array ? 1 : spec.tasks;
    const auto exceeds = [concurrentTasks](double perTask, double limit) {
        return limit > 0 && perTask * concurrentTasks > limit + quotaTolerance;
    };
    return !exceeds(spec.taskResources.cpus, team.cpusMax) &&
           !exceeds(spec.taskResources.gpus, team.gpusMax);
}

}  // namespace fawnwheel::coordination
