// Selects a few VMs, the readers, to read the platform's streams on behalf of
// all.
//
// Each VM needs the newest records, but every read is paid for and counts
// against a rate limit that all VMs share. The VMs are therefore divided into
// cells by hash. For each cell two readers are selected by rendezvous hashing.
// They send the cell's members the end offset of each stream, the age of that
// knowledge, and the records that changed something. A VM that receives nothing
// fresh reads by itself (see keyed_follower), so a lost message or reader only
// costs time.
//
// The readers are also the relays of the quotas' usage (see quota_relay).
//
// Cost: a reader sends a message to each member of its cell, a few times a
// second; the number of reads grows with the number of cells.
#ifndef AMARANTHARCH_CORE_SHARED_READING_HPP
#define AMARANTHARCH_CORE_SHARED_READING_HPP

#include "core/keyed_follower.hpp"
#include "core/membership.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace amarantharch
{

// Values are part of the protocol: append only, never renumber.
enum class shared_stream : std::uint8_t
{
    operator_records = 1,
    upstreams = 2,
    vms = 3,
    move_states = 4,
};

// How far a reader has read a stream.
struct stream_state
{
    std::uint8_t stream = 0; // shared_stream
    std::uint64_t end = 0;   // offset after the last record read
    // Of the contents of the records, for a stream in which most records only
    // renew earlier ones; else 0.
    std::uint64_t digest = 0;
    std::int64_t age_us = 0; // since the stream was last read
    std::uint64_t era = 0;   // of the log
    MSGPACK_DEFINE(stream, end, digest, age_us, era)
};

// A record that changed something.
struct shared_record
{
    std::uint8_t stream = 0; // shared_stream
    std::uint64_t offset = 0;
    std::string key;
    bool present = true; // false: the key was removed
    std::string value;
    std::uint64_t era = 0; // of the log
    MSGPACK_DEFINE(stream, offset, key, present, value, era)
};

struct reading_report
{
    std::vector<stream_state> states;
    std::vector<shared_record> records;
    MSGPACK_DEFINE(states, records)
};

struct shared_reading_options
{
    // Limits the messages of a reader, which sends 2.5 a second to each member
    // of its cell, plus 3.3 a second with the loads of engines.
    std::size_t cell_size = 100;
    std::size_t readers = 2; // of each cell
    // Bytes of records in one message, which must fit into a datagram.
    std::size_t message_bytes = 6'000;
};

class shared_reading
{
public:
    explicit shared_reading(std::string vm, shared_reading_options options = {})
        : vm_(std::move(vm)), options_(options)
    {
    }

    // Whether this VM is a reader of any cell.
    bool is_reader(membership const& members) const;

    // The other VMs in the cells that this VM reads for.
    std::vector<std::string> recipients(membership const& members) const;

    // The cell of this VM, named so that cells of another division of the fleet
    // have other names.
    std::string own_cell(membership const& members) const;

    // The cells that this VM reads for.
    std::vector<std::string> cells_read(membership const& members) const;

    // The VMs of `cell` other than this one.
    std::vector<std::string> members_of(membership const& members,
                                        std::string const& cell) const;

    // The readers of this VM's cell other than this VM.
    std::vector<std::string> own_readers(membership const& members) const;

    // The readers of all cells other than this VM.
    std::vector<std::string> other_readers(membership const& members) const;

    // Splits `report` into parts that fit into one message each; the first part
    // has the states.
    std::vector<reading_report> split(reading_report const& report) const;

private:
    std::size_t cell_count(membership const& members) const;
    static std::size_t cell_of(std::string const& vm, std::size_t cells);
    static std::string cell_name(std::size_t cell, std::size_t cells);
    std::vector<std::string> readers_of(membership const& members,
                                        std::size_t cell) const;
    bool is_reader_of(membership const& members, std::size_t cell) const;

    std::string vm_;
    shared_reading_options options_;
};

} // namespace amarantharch

#endif
