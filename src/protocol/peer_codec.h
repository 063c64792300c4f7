/// @file
/// The codec between our own processes: a version byte, a kind byte, then varint fields. Bounded:
/// a decoder never reads past the frame and never allocates more than the frame holds.
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

/// Reads varint-encoded fields. After malformed input `ok` is false and the reads return defaults.
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

/// Sent at every heartbeat interval. The echo lets the receiver date what the sender says: it was
/// said after the receiver's own clock showed `echo`.
struct PeerHeartbeat {
    std::uint64_t sentAt = 0;  ///< sender's steady clock, microseconds
    std::uint64_t echo = 0;    ///< receiver's `sentAt` as last heard
    bool stateReachable = false;
    bool ready = false;
    // Cancellations. The sender guarantees that all that it or an earlier incarnation of it has
    // told any user until now is in the receiver's records, in what the receiver has acknowledged,
    // or listed here; with `complete` nothing is left for the next message.
    std::uint64_t incarnation = 0;  ///< of the sender: a new one for each start
    std::uint64_t applied = 0;      ///< the sender's records are complete up to this revision
    std::uint64_t acknowledgedIncarnation = 0;  ///< the receiver's incarnation as last heard
    std::uint64_t acknowledged = 0;             ///< position up to which the sender has its list
    bool cancellationsCovered = false;          ///< the sender guarantees the above
    bool complete = false;
    std::uint64_t position = 0;          ///< of the list's first entry
    std::uint64_t next = 0;              ///< after its last
    std::vector<std::string> cancelled;  ///< jobs
};

/// "May I migrate these tasks to your partition?"
struct MigrationRequest {
    std::uint64_t requestId = 0;
    std::uint32_t partition = 0;  ///< the partition asked
    std::string job;
    std::uint32_t slice = 0;
    bool wholeJob = false;
    std::uint32_t tasks = 0;
};

/// Answer to a `MigrationRequest`, matched by `requestId`.
struct MigrationResponse {
    std::uint64_t requestId = 0;
    bool accepted = false;
};

/// "The cloud has no more machines of this kind": spares the peers the same call.
struct CapacityExhausted {
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t pauseMillis = 0;
};

/// "Lend my partition machines for this gang." The answer is the change of the machines' records.
struct LoanRequest {
    std::uint32_t lender = 0;  ///< partitions
    std::uint32_t borrower = 0;
    std::string job;
    std::string zone;  ///< empty: any
    std::uint32_t machines = 0;
};

/// "Give my partition of what your partition does not use of its team's limit, for this job."
struct QuotaRequest {
    std::uint32_t lender = 0;  ///< partitions
    std::uint32_t borrower = 0;
    std::string job;
};

/// "This job has ended": the terminal record, which says how, may be read now. Unknown to the first
/// version, which drops it.
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
    bool indivisible = false;  ///< a gang: a part of its machines is of no use
    std::uint32_t urgency = 0;
    std::uint64_t since = 0;  ///< submission of the oldest job, milliseconds
};

/// "My partition lacks machines for this much", sent every round of planning, also when it lacks
/// nothing: a partition that says nothing is given nothing. Unknown to versions without machine
/// sharing.
struct DemandUpdate {
    std::uint32_t partition = 0;
    std::vector<DemandEntry> demands;
};

/// A status with the partitions that its sender leads, each with its term: whoever thinks that it
/// leads one of them in an earlier term has lost it. In place of `PeerHeartbeat` once every node
/// knows it.
struct LeaderHeartbeat {
    PeerHeartbeat status;
    std::vector<std::uint64_t> partitions;
    std::vector<std::uint64_t> terms;  ///< by the same index
};

/// A message's place in this list is its kind on the wire: new ones come last.
using PeerMessage =
    std::variant<PeerHeartbeat, MigrationRequest, MigrationResponse, CapacityExhausted, LoanRequest,
                 QuotaRequest, JobCompleted, DemandUpdate, LeaderHeartbeat>;

/// A message between nodes, with the name of the node that sent it.
struct PeerEnvelope {
    std::string sender;
    PeerMessage message;
};

/// Frame payload of the message.
std::string encodePeer(const PeerEnvelope& envelope);
/// Empty if the frame is malformed or of an unknown version or kind.
std::optional<PeerEnvelope> decodePeer(std::string_view frame);

}  // namespace fawnwheel::protocol
