#!/usr/bin/env bash
# Takes away one mechanism of the ledger at a time in a scratch copy, and runs
# the fault tables on it. Fails if one of them goes unnoticed.
# Arguments: names of mutations; all without.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r CMakeLists.txt CMakePresets.json src "$scratch"
cmake -S "$scratch" --preset release > /dev/null
unnoticed=0

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
    if timeout 300 "$scratch/build/core_tests" --run_test="$tests" \
        > "$scratch/log" 2>&1; then
        echo "mutation $1: NOT NOTICED"
        unnoticed=1
    else
        echo "mutation $1: noticed: $(grep -m 1 -o 'error: in .*' "$scratch/log" |
            cut -c 1-150); $(grep -m 1 'first case' "$scratch/log" || tail -1 "$scratch/log")"
    fi
    cp "src/core/$2" "$file"
}

only="$*"
tests=a_ledger,a_request_that_must_not_run_twice
t=ledger_table.cpp
l=ledger.cpp
mutate loser_runs $l 's/row != nullptr && row->run == header.run;/row != nullptr;/; s/lose_to_other\(header->key\);//'
mutate last_intent_wins $t 's/row.state == key_state::free &&\s+header/header/'
mutate started_may_be_taken_over $t 's/else if \(\(row->state != key_state::accepted &&\s+row->state != key_state::uncertain\) \|\|\s+row->generation/else if (row->generation/'
mutate no_void_records $t 's/return basis_.time_us - header.basis.time_us > window_us_ \/ 2;/return header.generation > 1000000;/'
mutate no_blocking_before_origin $t 's/return header.basis.applied \+ 1 >= origin_;/return header.basis.applied + 1 >= 1;/'
mutate no_waiting_for_a_window $t 's/return read_any_ && basis_.time_us - origin_us_ > window_us_;/return true;/'
mutate losers_do_not_touch $t 's/found->second.touched_us = basis_.time_us;\s+touches_.push_back\(\{basis_.time_us, key\}\);\s+return &found/return &found/'
mutate release_of_unknown_frees $t 's/row = &touched_row\(header.key\);\s+row->state = key_state::uncertain;/row = &touched_row(header.key);\n row->state = key_state::free;/'
mutate no_losing_to_others $l 's/lose_to_other\(header->key\);//'
mutate no_gap_detection $l 's/if \(batch.first_retained > table_.next\(\)\)/if (batch.first_retained > table_.next() \&\& !begun_)/'
mutate rights_survive_a_gap $l 's/if \(!outlives_vm\(record\)\)\s+\{\s+give_up/if (record.valueless_by_exception())\n{\ngive_up/'
mutate given_up_may_run $l 's/(if \(own->second.deadline <= now\)\s+\{\s+give_up\(own->second\);)\s+forget\(own\);/$1\nown->second.deadline = time_point::max();/'
mutate given_up_acceptance_is_not_run $l 's/if \(std::holds_alternative<intent_record>\(own.record\)\)(\s+\{\s+refuse\(own.request,)/if (!own.request.empty())$1/'
mutate unwanted_right_not_released $l 's/if \(unwanted_right && ready\(\)\)/if (unwanted_right \&\& ready() \&\& options_.vm.empty())/'
mutate no_recording_again $l 's/        record_open_again\(now\);//'
mutate no_take_over $l 's/        take_over\(now\);//'
mutate no_resend $l 's/        resend\(now\);//'
mutate no_release_at_stop $l 's/for \(auto& header : starts\)\s+\{\s+release\(now, std::move\(header\), true\);\s+\}//'
mutate no_hand_over $l 's/        emit_\(std::move\(message\)\);//'
mutate adopted_release_forgotten_early $l 's/std::holds_alternative<outcome_record>\(record\)\);/true);/'
exit $unnoticed
