#include "core/version_move.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace amarantharch
{

namespace
{

// Share of the first stage's exposure that is sent in pulses.
constexpr double pulsed_exposure_share = 0.5;

// Name of the cells that count the routes beyond max_cells.
constexpr char const* other_routes = "other";

std::string describe(std::string const& route, load_band band,
                     char const* measure, test_evidence const& e)
{
    return fmt::format("{} worse on route {} under {} load: new {}/{} failed, "
                       "old {}/{}",
                       measure, route, name_in(load_band_names, band),
                       e.new_failures, e.new_requests, e.old_failures,
                       e.old_requests);
}

} // namespace

test_evidence version_move::sum_of(cell_sums const& cells)
{
    test_evidence sum;
    for (auto const& [key, evidence] : cells)
    {
        sum.add(evidence);
    }
    return sum;
}

version_move::version_move(move_plan plan, move_options options)
    : plan_(std::move(plan)), options_(std::move(options)),
      last_contact_at_(plan_.started)
{
}

void version_move::set_capacity_share(double capacity_share)
{
    capacity_share_ = capacity_share;
}

double version_move::share(time_point now) const
{
    if (state_ == move_state::done)
    {
        return 1;
    }
    if (state_ != move_state::running || now < plan_.started ||
        now - last_contact_at_ > options_.isolation_stop_after)
    {
        return 0;
    }
    bool const fresh =
        now - last_contact_at_ <= options_.isolation_fallback_after;
    std::uint32_t const stage = fresh ? stage_ : 0;
    double const mean = options_.stages[stage].share;
    if (stage > 0)
    {
        return mean;
    }
    double const pulse_share =
        std::clamp(capacity_share_, mean, options_.max_pulse_share);
    double const pulsed = pulsed_exposure_share * mean / pulse_share;
    double const phase = std::chrono::duration<double>((now - plan_.started) %
                                                       options_.pulse_period) /
                         std::chrono::duration<double>(options_.pulse_period);
    double const rest = mean * (1 - pulsed_exposure_share) / (1 - pulsed);
    return phase >= 1 - pulsed ? pulse_share : rest;
}

version_arm version_move::assign(time_point now, request_id const& id) const
{
    std::uint64_t const hash = XXH3_64bits_withSeed(
        id.data(), id.size(),
        XXH3_64bits(plan_.revision.data(), plan_.revision.size()));
    double const position =
        static_cast<double>(hash >> 11) / static_cast<double>(1ull << 53);
    return position < share(now) ? version_arm::new_version
                                 : version_arm::old_version;
}

void version_move::on_failure(std::string const& route, load_band band,
                              version_arm arm, double new_share)
{
    cell(route, band).on_failure(arm, new_share);
}

void version_move::on_answer(time_point now, std::string const& route,
                             load_band band, version_arm arm,
                             duration first_byte)
{
    cell(route, band).on_answer(now, arm, first_byte);
}

void version_move::on_contact(time_point now)
{
    last_contact_at_ = std::max(last_contact_at_, now);
}

void version_move::apply(move_record const& record)
{
    if (record.revision != plan_.revision ||
        record.state > static_cast<std::uint8_t>(move_state::not_done))
    {
        return;
    }
    auto const state = static_cast<move_state>(record.state);
    // A rollback overrides every other outcome; an outcome overrides every
    // stage.
    bool const overrides =
        state_ == move_state::running ||
        (state == move_state::rolled_back && state_ != move_state::rolled_back);
    if (!overrides)
    {
        return;
    }
    if (state == move_state::running)
    {
        stage_ = std::max(stage_, std::min(record.stage, last_stage()));
        return;
    }
    state_ = state;
    reason_ = record.reason;
}

move_record version_move::state_record() const
{
    return record_of(state_, reason_);
}

move_evidence version_move::evidence(std::string vm, std::uint64_t incarnation)
{
    move_evidence message;
    message.revision = plan_.revision;
    message.vm = std::move(vm);
    message.incarnation = incarnation;
    message.sequence = ++evidence_sequence_;
    for (auto const& [key, test] : cells_)
    {
        message.cells.push_back(
            {key.route, static_cast<std::uint8_t>(key.band), test.evidence()});
    }
    return message;
}

void version_move::merge(move_evidence const& peer)
{
    if (peer.revision != plan_.revision)
    {
        return;
    }
    // Each incarnation of a VM has its own entry: its evidence still counts
    // after a restart.
    peer_evidence& known =
        peers_[fmt::format("{}/{}", peer.vm, peer.incarnation)];
    if (peer.sequence <= known.sequence)
    {
        return;
    }
    known.sequence = peer.sequence;
    known.cells.clear();
    for (cell_evidence const& c : peer.cells)
    {
        load_band const band = c.band == 0 ? load_band::low : load_band::high;
        known.cells[{c.route, band}] = c.evidence;
    }
}

std::optional<move_record> version_move::tick(time_point now, bool is_mover)
{
    if (state_ != move_state::running)
    {
        return std::nullopt;
    }
    std::string const regression = find_regression(merged_evidence());
    if (!regression.empty())
    {
        state_ = move_state::rolled_back;
        reason_ = regression;
        return record_of(state_, reason_);
    }
    if (stage_ == last_stage() && !last_stage_since_)
    {
        last_stage_since_ = now;
    }
    return is_mover ? next_stage(now) : std::nullopt;
}

std::optional<move_record> version_move::next_stage(time_point now)
{
    if (stage_ == last_stage())
    {
        auto const soak =
            std::chrono::duration<double>(plan_.deadline - plan_.started) *
            options_.soak_share;
        if (last_stage_since_ && now - *last_stage_since_ >= soak &&
            missing_soundness(merged_evidence()).empty())
        {
            return record_of(move_state::done, "");
        }
    }
    if (now >= plan_.deadline)
    {
        cell_sums const cells = merged_evidence();
        std::string missing = missing_evidence(cells);
        if (missing.empty())
        {
            missing = missing_soundness(cells);
        }
        return record_of(move_state::not_done,
                         missing.empty() ? "time for the soak" : missing);
    }
    if (stage_ == last_stage() ||
        elapsed(now) < options_.stages[stage_ + 1].from ||
        !missing_evidence(merged_evidence()).empty())
    {
        return std::nullopt;
    }
    move_record record = record_of(move_state::running, "");
    record.stage = stage_ + 1;
    return record;
}

move_report version_move::report(time_point now) const
{
    return {state_, stage_, share(now), reason_};
}

sequential_test& version_move::cell(std::string const& route, load_band band)
{
    auto const known = cells_.find({route, band});
    if (known != cells_.end())
    {
        return known->second;
    }
    // The last two cells, one per band, count all other routes.
    bool const has_room = cells_.size() + 2 < options_.max_cells;
    return cells_[{has_room ? route : std::string(other_routes), band}];
}

version_move::cell_sums version_move::merged_evidence() const
{
    cell_sums result;
    for (auto const& [key, test] : cells_)
    {
        result[key].add(test.evidence());
    }
    for (auto const& [vm, peer] : peers_)
    {
        for (auto const& [key, evidence] : peer.cells)
        {
            result[key].add(evidence);
        }
    }
    return result;
}

std::string version_move::find_regression(cell_sums const& cells) const
{
    double const test_count =
        2 * static_cast<double>(std::max(options_.max_cells, cells.size())) + 1;
    double const bound = std::log(test_count / options_.alpha);
    test_evidence const all = sum_of(cells);
    if (all.slow_log_mixture() > bound)
    {
        return fmt::format("much slower over all routes: {} answers of the new "
                           "version",
                           all.new_requests);
    }
    for (auto const& [key, evidence] : cells)
    {
        if (evidence.failure_log_mixture() > bound)
        {
            return describe(key.route, key.band, "failures", evidence);
        }
        if (evidence.latency_log_mixture() > bound)
        {
            return describe(key.route, key.band, "latency", evidence);
        }
    }
    return {};
}

std::string version_move::missing_evidence(cell_sums const& cells) const
{
    std::uint64_t const all_old_requests = sum_of(cells).old_requests;
    if (cells.empty())
    {
        return "no requests";
    }
    for (auto const& [key, evidence] : cells)
    {
        bool const is_required =
            static_cast<double>(evidence.old_requests) >=
            options_.min_cell_share * static_cast<double>(all_old_requests);
        if (is_required && evidence.new_requests < options_.min_new_requests)
        {
            return fmt::format("{} of {} requests of route {} under {} load",
                               evidence.new_requests, options_.min_new_requests,
                               key.route, name_in(load_band_names, key.band));
        }
    }
    return {};
}

// Why the new version is not yet shown to be sound; empty if it is.
std::string version_move::missing_soundness(cell_sums const& cells) const
{
    test_evidence const all = sum_of(cells);
    if (all.sound_log_mixture() < -std::log(options_.alpha))
    {
        return fmt::format("not shown to be fast enough by {} answers",
                           all.new_requests);
    }
    std::map<std::string, test_evidence> routes;
    for (auto const& [key, evidence] : cells)
    {
        routes[key.route].add(evidence);
    }
    for (auto const& [route, evidence] : routes)
    {
        bool const is_required =
            static_cast<double>(evidence.old_requests) >=
            options_.min_cell_share * static_cast<double>(all.old_requests);
        if (is_required && evidence.sound_log_mixture() < 0)
        {
            return fmt::format(
                "not shown to be fast enough on route {} by {} answers", route,
                evidence.new_requests);
        }
    }
    return {};
}

move_record version_move::record_of(move_state state, std::string reason) const
{
    return {plan_.revision, static_cast<std::uint8_t>(state), stage_,
            std::move(reason)};
}

double version_move::elapsed(time_point now) const
{
    return std::chrono::duration<double>(now - plan_.started) /
           std::chrono::duration<double>(plan_.deadline - plan_.started);
}

} // namespace amarantharch
