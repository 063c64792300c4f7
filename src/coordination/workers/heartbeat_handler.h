// Workers' heartbeats: what they prove, and the commands they are answered with.
#pragma once

#include "coordination/membership/membership.h"
#include "coordination/replication/state_writer.h"
#include "coordination/workers/fault_attribution.h"

namespace fawnwheel::coordination {

struct HeartbeatResponse {
    int status = 503;
    std::string body;
};

class HeartbeatHandler {
  public:
    HeartbeatHandler(Context& context, Membership& membership, StateWriter& stateWriter)
        : context_(context),
          membership_(membership),
          stateWriter_(stateWriter),
          failures_(context) {}

    HeartbeatResponse handleHeartbeat(const protocol::Heartbeat& heartbeat);
    // A partition has come to this process: whatever was known of its machines must be proved anew.
    void onPartitionAcquired(std::uint32_t partition);
    // Makes the workers of these machines heartbeat soon: starts wait for them. Starts themselves
    // go out in answers to heartbeats only, which are never executed late.
    void requestHeartbeats(const std::set<std::string>& machines);
    // A machine that has gone to another partition: its worker is made to heartbeat, and is sent
    // there.
    void redirectWorker(const std::string& machine);
    // Sends stops straight to the machines of this job; the heartbeats repeat them.
    void stopNow(const std::string& job);
    void stopMarked(const std::string& machine);
    // All that was on the machine is surely gone.
    void releaseAllocations(Machine& machine, const char* why);
    // Machines silent for so long that their leases have surely run out.
    void expireSilent(std::uint32_t partition);

    // A machine nobody has assigned to a partition yet.
    std::function<void(const protocol::Heartbeat&)> onUnassigned = [](const protocol::Heartbeat&) {
    };
    std::function<void()> onChange = [] {};

  private:
    // Brings the machine's token up to what its partition's term, or a loan, demands.
    void refreshToken(Machine& machine);
    // Nothing shows any more that the worker hears us: it has to prove it.
    void requireAcknowledgement(Machine& machine, std::uint64_t expectedToken);
    void applyHeartbeat(ClusterState& clusterState, Machine& machine,
                        const protocol::Heartbeat& heartbeat);
    void applyTaskStatus(ClusterState& clusterState, Machine& machine,
                         const protocol::TaskStatus& task,
                         std::vector<protocol::Command>& commands);
    void applyTaskExit(ClusterState& clusterState, Machine& machine, Job& job, Slice& slice,
                       Allocation& allocation, const protocol::TaskStatus& task);
    // Whether nobody but us can renew the lease of a machine that was given to us with its tasks.
    [[nodiscard]] bool giverKnows(const ClusterState& clusterState, const Machine& machine) const;
    [[nodiscard]] bool mayStartOn(const Machine& machine) const;
    // A gang's task that waited for the others in vain, while all have their places.
    [[nodiscard]] bool mayWaitOn(const ClusterState& clusterState, const Machine& machine,
                                 const Job& job, const Allocation& allocation) const;
    void sendCommands(const Machine& machine, const std::vector<protocol::Command>& commands);
    void sendCommands(const std::string& id, std::uint64_t agentEpoch,
                      const std::vector<protocol::Command>& commands, bool mayRepeat);
    void addStarts(ClusterState& clusterState, Machine& machine,
                   const protocol::Heartbeat& heartbeat, std::vector<protocol::Command>& commands);
    [[nodiscard]] static bool startable(const ClusterState& clusterState, const Job& job,
                                        const Allocation& allocation);

    Context& context_;
    Membership& membership_;
    StateWriter& stateWriter_;
    FaultAttribution failures_;
};

}  // namespace fawnwheel::coordination
