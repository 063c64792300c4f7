/// @file
/// Codec of the messages between nodes. A frame contains the codec version, the message kind and
/// the sender, then the message's fields as varints. The decoder never reads past the frame and
/// never allocates more than the frame contains.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fawnwheel::protocol {

/// Appends varint-encoded fields to a buffer.
class VarintWriter {
  public:
    void number(std::uint64_t value);
    void flag(bool value) { number(value ? 1 : 0); }
    void text(std::string_view value);
    [[nodiscard]] std::string finish() { return std::move(out_); }

  private:
    std::string out_;
};

/// Reads varint-encoded fields. After malformed input, `ok` is false and all reads return defaults.
class VarintReader {
  public:
    explicit VarintReader(std::string_view in) : in_(in) {}
    std::uint64_t number();
    bool flag() { return number() != 0; }
    std::string text();
    [[nodiscard]] bool ok() const { return ok_; }
    [[nodiscard]] bool atEnd() const { return ok_ && in_.empty(); }

  private:
    std::string_view in_;
    bool ok_ = true;
};

/// Sent to each peer at every heartbeat interval. The echo lets the receiver date the heartbeat on
/// its own clock: the sender made the heartbeat after the receiver's clock showed `echo`.
struct PeerHeartbeat {
    std::uint64_t sentAt = 0;  ///< sender's steady clock, microseconds
    std::uint64_t echo = 0;    ///< last `sentAt` that the sender got from the receiver
    bool stateReachable = false;
    bool ready = false;
    // Cancellations. With `cancellationsCovered`, the sender guarantees that each cancellation that
    // it or an earlier incarnation of it has confirmed to a user is in the receiver's records, is
    // acknowledged by the receiver, or is listed in this message or a following one. With
    // `complete`, no message of the list follows.
    std::uint64_t incarnation = 0;  ///< of the sender's process; new at each start
    std::uint64_t applied = 0;      ///< the sender's records are complete up to this revision
    std::uint64_t acknowledgedIncarnation = 0;  ///< last incarnation received from the receiver
    std::uint64_t acknowledged = 0;     ///< position up to which the sender has the receiver's list
    bool cancellationsCovered = false;  ///< the guarantee above holds
    bool complete = false;
    std::uint64_t position = 0;          ///< position of the first entry of `cancelled`
    std::uint64_t next = 0;              ///< position after the last entry of `cancelled`
    std::vector<std::string> cancelled;  ///< job ids
};

/// Asks the leader of `partition` whether the tasks may migrate to that partition.
struct MigrationRequest {
    std::uint64_t requestId = 0;
    std::uint32_t partition = 0;  ///< target partition
    std::string job;
    std::uint32_t slice = 0;
    bool wholeJob = false;
    std::uint32_t tasks = 0;
};

/// Response to the `MigrationRequest` with the same `requestId`.
struct MigrationResponse {
    std::uint64_t requestId = 0;
    bool accepted = false;
};

/// Reports that the cloud has no more machines of this kind, so that the peers do not make the same
/// call.
struct CapacityExhausted {
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t pauseMillis = 0;
};

/// Asks the lender partition to lend machines to the borrower partition for a gang. There is no
/// response message: the lender's leader changes the machines' records.
struct LoanRequest {
    std::uint32_t lender = 0;  ///< partitions
    std::uint32_t borrower = 0;
    std::string job;
    std::string zone;  ///< empty: any
    std::uint32_t machines = 0;
};

/// Asks the lender partition to transfer unused quota of the job's team to the borrower partition,
/// for this job.
struct QuotaRequest {
    std::uint32_t lender = 0;  ///< partitions
    std::uint32_t borrower = 0;
    std::string job;
};

/// Reports that a job has ended. The receiver can then read the outcome in the terminal record. The
/// first version of the software does not know this message and drops it.
struct JobCompleted {
    std::string job;
};

/// Tasks of one shape for which the partition lacks machines; amounts in thousandths.
struct DemandEntry {
    std::uint64_t cpus = 0;
    std::uint64_t gpus = 0;
    std::uint64_t memory = 0;
    std::vector<std::string> types;  ///< empty: any
    std::string zone;                ///< empty: any
    bool spot = false;
    std::uint32_t tasks = 0;
    bool indivisible = false;  ///< true for a gang, which cannot use a part of its machines
    std::uint32_t urgency = 0;
    std::uint64_t since = 0;  ///< submission time of the oldest job, milliseconds
};

/// The demand for which a partition lacks machines. Its leader sends this message in each planning
/// round, also if the partition lacks nothing, because a partition without an update gets no
/// machines. Versions without machine sharing do not know this message.
struct DemandUpdate {
    std::uint32_t partition = 0;
    std::vector<DemandEntry> demands;
};

/// A heartbeat with the partitions that the sender leads and their terms. A node that still claims
/// one of these partitions in an earlier term has lost the leadership of that partition. Replaces
/// `PeerHeartbeat` once all nodes support this message.
struct LeaderHeartbeat {
    PeerHeartbeat status;
    std::vector<std::uint64_t> partitions;
    std::vector<std::uint64_t> terms;  ///< term of the partition at the same index
};

/// The index of an alternative is the message kind in the frame, so new messages are added last.
using PeerMessage =
    std::variant<PeerHeartbeat, MigrationRequest, MigrationResponse, CapacityExhausted, LoanRequest,
                 QuotaRequest, JobCompleted, DemandUpdate, LeaderHeartbeat>;

/// A message between nodes, with the name of the node that sent it.
struct PeerEnvelope {
    std::string sender;
    PeerMessage message;
};

/// Encodes the message as the payload of a frame.
std::string encodePeer(const PeerEnvelope& envelope);
/// Decodes a frame; empty if the frame is malformed or of an unknown version or kind.
std::optional<PeerEnvelope> decodePeer(std::string_view frame);

}  // namespace fawnwheel::protocol
