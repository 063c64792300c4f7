#include "protocol/peer_codec.h"

namespace fawnwheel::protocol {

namespace {

constexpr std::uint64_t codecVersion = 1;
constexpr unsigned maxVarintBytes = 10;

template <typename Visit>
void visitFields(DemandEntry& entry, Visit visit);

// Each message has one `visitFields` function, which lists the message's visitFields for both
// writing and reading. `FieldWriter` and `FieldReader` are the visitors.
struct FieldWriter {
    VarintWriter& out;
    void operator()(std::uint64_t& v) { out.number(v); }
    void operator()(std::uint32_t& v) { out.number(v); }
    void operator()(bool& v) { out.flag(v); }
    void operator()(std::string& v) { out.text(v); }
    void operator()(std::vector<std::string>& v) {
        out.number(v.size());
        for (const auto& entry : v) out.text(entry);
    }
    void operator()(std::vector<std::uint64_t>& v) {
        out.number(v.size());
        for (const auto entry : v) out.number(entry);
    }
    void operator()(std::vector<DemandEntry>& v) {
        out.number(v.size());
        for (auto& entry : v) visitFields(entry, *this);
    }
};

struct FieldReader {
    VarintReader& in;
    void operator()(std::uint64_t& v) { v = in.number(); }
    void operator()(std::uint32_t& v) { v = static_cast<std::uint32_t>(in.number()); }
    void operator()(bool& v) { v = in.flag(); }
    void operator()(std::string& v) { v = in.text(); }
    void operator()(std::vector<std::string>& v) {
        // The count is not trusted: the vector grows only by entries that the frame contains.
        for (auto left = in.number(); left > 0 && in.ok(); --left) v.push_back(in.text());
    }
    void operator()(std::vector<std::uint64_t>& v) {
        for (auto left = in.number(); left > 0 && in.ok(); --left) v.push_back(in.number());
    }
    void operator()(std::vector<DemandEntry>& v) {
        for (auto left = in.number(); left > 0 && in.ok(); --left)
            visitFields(v.emplace_back(), *this);
    }
};

template <typename Visit>
void visitFields(PeerHeartbeat& m, Visit visit) {
    visit(m.sentAt);
    visit(m.echo);
    visit(m.stateReachable);
    visit(m.ready);
    visit(m.incarnation);
    visit(m.applied);
    visit(m.acknowledgedIncarnation);
    visit(m.acknowledged);
    visit(m.cancellationsCovered);
    visit(m.complete);
    visit(m.position);
    visit(m.next);
    visit(m.cancelled);
}
template <typename Visit>
void visitFields(MigrationRequest& m, Visit visit) {
    visit(m.requestId);
    visit(m.partition);
    visit(m.job);
    visit(m.slice);
    visit(m.wholeJob);
    visit(m.tasks);
}
template <typename Visit>
void visitFields(MigrationResponse& m, Visit visit) {
    visit(m.requestId);
    visit(m.accepted);
}
template <typename Visit>
void visitFields(CapacityExhausted& m, Visit visit) {
    visit(m.type);
    visit(m.zone);
    visit(m.spot);
    visit(m.pauseMillis);
}

template <typename Visit>
void visitFields(LoanRequest& m, Visit visit) {
    visit(m.lender);
    visit(m.borrower);
    visit(m.job);
    visit(m.zone);
    visit(m.machines);
}

template <typename Visit>
void visitFields(QuotaRequest& m, Visit visit) {
    visit(m.lender);
    visit(m.borrower);
    visit(m.job);
}

template <typename Visit>
void visitFields(JobCompleted& m, Visit visit) {
    visit(m.job);
}

template <typename Visit>
void visitFields(DemandEntry& entry, Visit visit) {
    visit(entry.cpus);
    visit(entry.gpus);
    visit(entry.memory);
    visit(entry.types);
    visit(entry.zone);
    visit(entry.spot);
    visit(entry.tasks);
    visit(entry.indivisible);
    visit(entry.urgency);
    visit(entry.since);
}

template <typename Visit>
void visitFields(DemandUpdate& m, Visit visit) {
    visit(m.partition);
    visit(m.demands);
}

template <typename Visit>
void visitFields(LeaderHeartbeat& m, Visit visit) {
    visitFields(m.status, visit);
    visit(m.partitions);
    visit(m.terms);
}

template <std::size_t Index = 0>
bool readMessage(std::uint64_t kind, VarintReader& in, PeerMessage& out) {
    if constexpr (Index < std::variant_size_v<PeerMessage>) {
        if (kind != Index) return readMessage<Index + 1>(kind, in, out);
        visitFields(out.emplace<Index>(), FieldReader{in});
        return true;
    } else {
        return false;
    }
}

}  // namespace

void VarintWriter::number(std::uint64_t value) {
    while (value >= 0x80) {
        out_.push_back(static_cast<char>((value & 0x7f) | 0x80));
        value >>= 7U;
    }
    out_.push_back(static_cast<char>(value));
}

void VarintWriter::text(std::string_view value) {
    number(value.size());
    out_.append(value);
}

std::uint64_t VarintReader::number() {
    std::uint64_t value = 0;
    for (unsigned i = 0; i < maxVarintBytes && !in_.empty(); ++i) {
        const auto byte = static_cast<unsigned char>(in_.front());
        in_.remove_prefix(1);
        if (i == maxVarintBytes - 1 && byte > 1) break;
        value |= std::uint64_t{byte & 0x7fU} << (7 * i);
        if (byte < 0x80) return value;
    }
    ok_ = false;
    in_ = {};
    return 0;
}

std::string VarintReader::text() {
    const auto length = number();
    if (!ok_ || length > in_.size()) {
        ok_ = false;
        in_ = {};
        return {};
    }
    std::string value(in_.substr(0, length));
    in_.remove_prefix(length);
    return value;
}

std::string encodePeer(const PeerEnvelope& envelope) {
    VarintWriter out;
    out.number(codecVersion);
    out.number(envelope.message.index());
    out.text(envelope.sender);
    PeerMessage message = envelope.message;
    std::visit([&out](auto& m) { visitFields(m, FieldWriter{out}); }, message);
    return out.finish();
}

std::optional<PeerEnvelope> decodePeer(std::string_view frame) {
    VarintReader in(frame);
    if (in.number() != codecVersion || !in.ok()) return std::nullopt;
    const auto kind = in.number();
    PeerEnvelope envelope;
    envelope.sender = in.text();
    if (!in.ok() || !readMessage(kind, in, envelope.message) || !in.atEnd()) return std::nullopt;
    return envelope;
}

}  // namespace fawnwheel::protocol
