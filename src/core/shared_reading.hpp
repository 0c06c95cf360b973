// Lets a few VMs read the platform's streams for all.
//
// Each VM needs the newest records, and every read is paid for and counts
// against a rate that all VMs share. So the VMs are divided into cells by hash,
// and for each cell two VMs, chosen by rendezvous, read and tell its members
// where each stream stands, how old that knowledge is, and the records that
// changed something. A VM that hears nothing fresh reads for itself (see
// keyed_follower), so a lost message or reader costs time only.
//
// Cost: a reader sends as many messages as its cell has members, a few times a
// second; reads grow with the number of cells.
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

// Where a stream stands at a VM that reads it.
struct stream_state
{
    std::uint8_t stream = 0; // shared_stream
    std::uint64_t end = 0;   // offset behind the last record read
    // Of what the records say, where most of them only renew it; else 0.
    std::uint64_t digest = 0;
    std::int64_t age_us = 0; // since the stream was last read
    MSGPACK_DEFINE(stream, end, digest, age_us)
};

// A record that changed something.
struct shared_record
{
    std::uint8_t stream = 0; // shared_stream
    std::uint64_t offset = 0;
    std::string key;
    bool present = true; // false: the key was dropped
    std::string value;
    MSGPACK_DEFINE(stream, offset, key, present, value)
};

struct reading_report
{
    std::vector<stream_state> states;
    std::vector<shared_record> records;
    MSGPACK_DEFINE(states, records)
};

struct shared_reading_options
{
    // Bounds a reader's messages: 2.5 a second to each member, and 3.3 with
    // the loads of engines.
    std::size_t cell_size = 100;
    std::size_t readers = 2; // of each cell
    // Bytes of records in one message; it must fit a datagram.
    std::size_t message_bytes = 6'000;
};

class shared_reading
{
public:
    explicit shared_reading(std::string vm, shared_reading_options options = {})
        : vm_(std::move(vm)), options_(options)
    {
    }

    // Whether this VM reads for others.
    bool reads(membership const& members) const;

    // The other VMs of the cells that it reads for.
    std::vector<std::string> audience(membership const& members) const;

    // `report` in parts that fit a message each; the first has the states.
    std::vector<reading_report> parts(reading_report const& report) const;

private:
    std::size_t cells(membership const& members) const;
    static std::size_t cell_of(std::string const& vm, std::size_t cells);
    bool reads_cell(membership const& members, std::size_t cell) const;

    std::string vm_;
    shared_reading_options options_;
};

} // namespace amarantharch

#endif
