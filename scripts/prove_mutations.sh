#!/usr/bin/env bash
# Takes away one mechanism of the ledger at a time in a scratch copy, and runs
# the fault tables on it. Fails if one of them goes unnoticed.
# Arguments: names of mutations; all without.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r CMakeLists.txt CMakePresets.json src "$scratch"
# Only what the ledger's tests need is built.
find "$scratch/src/core" -name '*.cpp' ! -name 'ledger*' \
    ! -name 'request_key*' ! -name 'stream_relay*' ! -name 'quarantine*' \
    -delete
cmake -S "$scratch" --preset release > /dev/null
unnoticed=0

run() {
    timeout 300 "$scratch/build/core_tests" --run_test="$1" \
        > "$scratch/log" 2>&1
}

# mutate NAME FILE PERL_SUBSTITUTION
mutate() {
    if [ -n "$only" ] && [[ " $only " != *" $1 "* ]]; then return; fi
    local file=$scratch/src/core/$2
    perl -0pe "$3" "src/core/$2" > "$file"
    if cmp -s "$file" "src/core/$2"; then
        echo "mutation $1: does not apply any more"
        unnoticed=1
        return
    fi
    cmake --build "$scratch/build" -j 2 --target core_tests > "$scratch/log" 2>&1 ||
        { tail -5 "$scratch/log"; exit 1; }
    local suite
    for suite in "${suites[@]}"; do
        if ! run "$suite"; then
            echo "mutation $1: noticed: $(grep -m 1 -o 'error: in "[^"]*"' \
                "$scratch/log") $(grep -m 1 -o 'first case.*' "$scratch/log")"
            cp "src/core/$2" "$file"
            return
        fi
    done
    echo "mutation $1: NOT NOTICED"
    unnoticed=1
    cp "src/core/$2" "$file"
}

only="$*"
faults=a_request_that_must_not_run_twice/under_faults
# The pairs of faults take longest; they are tried only if need be.
suites=(a_ledger "$faults/*single*" "$faults/*random*" "$faults/*pair*")
t=ledger_table.cpp
l=ledger.cpp
mutate loser_runs $l 's/row != nullptr && row->run == header.run;/row != nullptr;/; s/drop_losing_claim\(header->key\);//'
mutate last_intent_wins $t 's/row.state == key_state::free &&\s+header/header/'
mutate started_may_be_taken_over $t 's/else if \(\(row->state != key_state::accepted &&\s+row->state != key_state::uncertain\) \|\|\s+row->generation/else if (row->generation/'
mutate no_void_records $t 's/return basis_.time_us - header.basis.time_us > window_us_ \/ 2;/return header.generation > 1000000;/'
mutate no_blocking_before_origin $t 's/return header.basis.applied \+ 1 >= origin_;/return header.basis.applied + 1 >= 1;/'
mutate no_waiting_for_a_window $t 's/return read_any_ && basis_.time_us - origin_us_ > window_us_;/return true;/'
mutate losers_do_not_touch $t 's/found->second.touched_us = basis_.time_us;\s+touches_.push_back\(\{basis_.time_us, key\}\);\s+return &found/return &found/'
mutate release_of_unknown_frees $t 's/row = &insert_and_touch\(header.key\);\s+row->state = key_state::uncertain;/row = &insert_and_touch(header.key);\n row->state = key_state::free;/'
mutate no_losing_to_others $l 's/drop_losing_claim\(header->key\);//'
mutate no_gap_detection $l 's/if \(batch.first_retained > table_.next\(\)\)/if (batch.first_retained > table_.next() \&\& !initialized_)/'
mutate rights_survive_a_gap $l 's/if \(!valid_after_writer_exit\(record\)\)\s+\{\s+refuse_waiting_caller/if (record.valueless_by_exception())\n{\nrefuse_waiting_caller/'
mutate given_up_may_run $l 's/(if \(own->second.deadline <= now\)\s+\{\s+refuse_waiting_caller\(own->second\);)\s+forget\(own\);/$1\nown->second.deadline = time_point::max();/'
mutate given_up_acceptance_is_not_run $l 's/if \(std::holds_alternative<intent_record>\(own.record\)\)(\s+\{\s+refuse\(own.request,)/if (!own.request.empty())$1/'
mutate unwanted_right_not_released $l 's/if \(unwanted_right && ready\(\)\)/if (unwanted_right \&\& ready() \&\& options_.vm.empty())/'
mutate no_recording_again $l 's/        refresh_unstarted\(now\);//'
mutate no_take_over $l 's/        take_over\(now\);//'
mutate no_resend $l 's/        resend\(now\);//'
mutate no_release_at_stop $l 's/for \(auto& header : starts\)\s+\{\s+release\(now, std::move\(header\), true\);\s+\}//'
mutate no_hand_over $l 's/        emit_\(std::move\(message\)\);//'
mutate adopted_release_forgotten_early $l 's/std::holds_alternative<outcome_record>\(record\)\);/true);/'

suites=(a_stream_of_tokens)
r=stream_relay.cpp
mutate late_attempts_count $r 's/ \|\| attempt != attempt_\)/ || attempt == 0)/'
mutate duplicates_pass $r 's/if \(token.index < next_\)/if (token.index + 1 < next_)/'
mutate gaps_pass $r 's/if \(token.index > next_\)/if (token.index > next_ + 1)/'
mutate torn_line_kept_over_attempts $r 's/    parser_ = engine_event_parser\(\);\n//'
mutate tokens_after_the_end $r 's/if \(state_ == relay_state::done\)(\s+\{\s+return false;)/if (next_ > 1000)$1/'

suites=(requests_that_crash_upstreams)
q=quarantine.cpp
mutate two_marks_convict $q 's/return other != a.request_fingerprint &&\s+in_b.contains\(other\) &&/return other != a.request_fingerprint \&\& in_b.size() > 1000 \&\& in_b.contains(other) \&\&/'
mutate suspects_not_alone $q 's/return quarantine_decision::run_alone;/return quarantine_decision::run;/'
mutate alone_by_one_vm_is_enough $q 's/return mark.alone && crashes_.at\(mark.crash\).size\(\) == 1;/return mark.alone;/'
mutate no_acquittal $q 's/mark.time_us > found->second.cleared_us/mark.time_us > 0/'
mutate no_settling $q 's/return quarantine_decision::hold;/{}/'
mutate latest_sighting_wins $q 's/merged.time_us = std::min\(merged.time_us, mark.time_us\);/merged.time_us = mark.time_us;/'
exit $unnoticed
