// The records of the `requests` stream and their encoding.
//
// A record names a key and a generation of that key. A generation stands for
// one right to run the request; it grows when such a right is released unused,
// and when a key with an outcome is run anew. The rules by which readers decide
// which record counts are in core/ledger.hpp.
#ifndef AMARANTHARCH_CORE_LEDGER_RECORD_HPP
#define AMARANTHARCH_CORE_LEDGER_RECORD_HPP

#include "core/call.hpp"
#include "core/log.hpp"
#include "core/request_key.hpp"
#include "core/verdict.hpp"

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace amarantharch
{

// One attempt of one VM to obtain a key; unique across VMs and restarts.
struct run_id
{
    std::string vm;
    std::uint64_t incarnation = 0; // grows with each start of that vm
    std::uint64_t sequence = 0;    // grows with each attempt
    // clang-tidy 14 takes the 0 in a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(run_id const&) const = default;
    MSGPACK_DEFINE(vm, incarnation, sequence)
};

// How far the writer had read when it wrote the record.
struct record_basis
{
    log_offset applied = 0;   // last offset applied
    std::int64_t time_us = 0; // the log's time at that offset
    MSGPACK_DEFINE(applied, time_us)
};

// Common to all records but clock_record.
struct record_header
{
    request_key key;
    std::uint32_t generation = 0;
    run_id run;
    record_basis basis;
    MSGPACK_DEFINE(key, generation, run, basis)
};

// The part of a call that any VM needs to run it later.
struct stored_call
{
    std::string request; // request_id
    std::string organisation;
    std::string service;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    MSGPACK_DEFINE(request, organisation, service, method, target, headers,
                   body)
};

// Accepts and starts a synchronous request in one record.
struct intent_record
{
    record_header header;
    std::uint64_t content = 0; // content_digest
    MSGPACK_DEFINE(header, content)
};

// Accepts an asynchronous request: any VM may start it.
struct acceptance_record
{
    record_header header;
    std::uint64_t content = 0; // content_digest
    bool orphaned = false; // released by its VM: any VM may start it at once
    stored_call call;
    MSGPACK_DEFINE(header, content, orphaned, call)
};

// Claims an accepted request in order to run it.
struct start_record
{
    record_header header;
    MSGPACK_DEFINE(header)
};

// Releases an intent, acceptance or start; nothing of the request has run.
struct release_record
{
    record_header header;
    bool asynchronous = false;
    MSGPACK_DEFINE(header, asynchronous)
};

// The outcome of a started request.
struct outcome_record
{
    record_header header;
    std::uint64_t content = 0;
    std::uint8_t run = 0;    // verdict: ran or may_have_run
    std::int32_t status = 0; // HTTP status if it ran
    bool answer_kept = false;
    std::string content_type;
    std::string answer;
    MSGPACK_DEFINE(header, content, run, status, answer_kept, content_type,
                   answer)
};

// Has no key; reading it back tells the log's time.
struct clock_record
{
    run_id writer;
    MSGPACK_DEFINE(writer)
};

using ledger_record =
    std::variant<intent_record, acceptance_record, start_record, release_record,
                 outcome_record, clock_record>;

// The record's header, or null for a clock_record.
record_header const* header_of(ledger_record const& record);

// Replaces the record's basis, if it has one.
void set_basis(ledger_record& record, record_basis basis);

std::string encode(ledger_record const& record);

// Fails with InvalidArgument for anything that encode() did not make.
absl::StatusOr<ledger_record> decode_ledger_record(std::string const& payload);

} // namespace amarantharch

#endif
