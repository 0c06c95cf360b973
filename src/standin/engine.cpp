#include "standin/engine.hpp"

#include "core/site.hpp"
#include "standin/json.hpp"

#include <QJsonArray>

#include <fmt/format.h>

#include <xxhash.h>

#include <algorithm>

namespace amarantharch::standin
{

namespace
{

constexpr std::int64_t default_max_tokens = 16;
constexpr std::int64_t most_tokens = 100'000;
constexpr duration report_interval = std::chrono::milliseconds(50);
constexpr std::string_view streams_prefix = "/engine/streams/";
constexpr std::string_view blocks_prefix = "/engine/kv/";
constexpr std::string_view exported_block_prefix = "kv:";

QString as_text(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

// The prompt as the engine hashes it: the text of /v1/completions, or each
// message as "ROLE: CONTENT" and a line feed.
std::string prompt_of(QJsonObject const& body)
{
    std::string prompt = text_of(body, "prompt");
    for (auto const& row : body.value("messages").toArray())
    {
        QJsonObject const message = row.toObject();
        prompt += text_of(message, "role") + ": " +
                  text_of(message, "content") + "\n";
    }
    return prompt;
}

std::size_t tokens_in(std::string_view prompt)
{
    return (prompt.size() + token_bytes - 1) / token_bytes;
}

std::string event_text(QJsonObject const& data)
{
    return "data: " + to_string(data) + "\n\n";
}

} // namespace

std::string token_of(std::string_view prompt, std::int64_t index)
{
    return fmt::format("{:08x} ", XXH64(prompt.data(), prompt.size(),
                                        static_cast<XXH64_hash_t>(index)) &
                                      0xffffffffU);
}

engine::engine(engine_options options)
    : options_(std::move(options)), cache_(options_.cache)
{
}

void engine::receive(time_point now, exchange_id exchange, call const& request,
                     reply_sink const& emit)
{
    std::string_view const path = path_of(request.target);
    if (faults_.receive(now, exchange, request, emit))
    {
        return;
    }
    if (path == "/runs")
    {
        report_runs(exchange, emit);
    }
    else if (apply_common_faults(faults_, now, exchange, request, emit))
    {
        return;
    }
    else if (path == "/v1/chat/completions" || path == "/v1/completions")
    {
        start(now, exchange, request, emit);
    }
    else if (path == "/engine/load")
    {
        report_load(now, exchange, emit);
    }
    else if (path == "/engine/cache_events")
    {
        report_events(now, exchange, request, emit);
    }
    else if (path == "/engine/orders")
    {
        order(now, exchange, request, emit);
    }
    else if (auto const stream = after_prefix(path, streams_prefix))
    {
        cancel(exchange, *stream, emit);
    }
    else if (auto const block = after_prefix(path, blocks_prefix))
    {
        move_block(now, exchange, request, *block, emit);
    }
    else
    {
        emit(error_reply(exchange, 404, "no such path"));
    }
}

void engine::abandon(time_point, exchange_id exchange)
{
    std::erase(running_, exchange);
    std::erase(waiting_, exchange);
    streams_.erase(exchange);
}

void engine::tick(time_point now, reply_sink const& emit)
{
    finish_loads(now);
    run_steps(now, emit);
    keep_report(now);
}

void engine::start(time_point now, exchange_id exchange, call const& request,
                   reply_sink const& emit)
{
    auto const body = parse_object(request.body);
    if (!body)
    {
        emit(error_reply(exchange, 400, "body is not a JSON object"));
        return;
    }
    if (waiting_.size() >= options_.waiting)
    {
        emit(error_reply(exchange, 429, "queue full"));
        return;
    }
    stream_row row;
    row.version = header_value(request.headers, "X-Version");
    if (row.version.empty() && !options_.versions.empty())
    {
        row.version = options_.versions.front();
    }
    if (std::count(options_.versions.begin(), options_.versions.end(),
                   row.version) == 0)
    {
        emit(error_reply(exchange, 404, "version not loaded"));
        return;
    }
    auto const bad = faults_.find(now, fault_kind::bad_version);
    if (bad && bad->text == row.version && bad->length == duration::zero())
    {
        (void)faults_.take(now, fault_kind::bad_version);
        emit(error_reply(exchange, 500, "bad version"));
        return;
    }
    row.id = header_value(request.headers, "X-Stream-Id");
    row.prompt = prompt_of(*body);
    row.first =
        std::max<std::int64_t>(header_integer(request, "X-Resume-From"), 0);
    row.next = row.first;
    row.end = std::clamp<std::int64_t>(
        integer_of(*body, "max_tokens", default_max_tokens), 0, most_tokens);
    row.priority = static_cast<int>(
        std::clamp<std::int64_t>(header_integer(request, "X-Priority"), 0, 9));
    row.streamed = body->value("stream").toBool();
    std::string const key(header_value(request.headers, "Idempotency-Key"));
    ++runs_by_key_[key.empty() ? row.id : key];
    ++runs_;
    streams_[exchange] = std::move(row);
    waiting_.push_back(exchange);
    run_steps(now, emit);
}

void engine::cancel(exchange_id exchange, std::string_view stream,
                    reply_sink const& emit)
{
    std::vector<exchange_id> cancelled;
    for (auto const& [id, row] : streams_)
    {
        if (row.id == stream)
        {
            cancelled.push_back(id);
        }
    }
    for (exchange_id const id : cancelled)
    {
        abandon({}, id);
        emit(reply_cut{id});
    }
    emit(json_reply(exchange, 200,
                    {{"cancelled", static_cast<qint64>(cancelled.size())}}));
}

void engine::order(time_point now, exchange_id exchange, call const& request,
                   reply_sink const& emit)
{
    auto const body = parse_object(request.body);
    if (!body || !body->contains("kind"))
    {
        emit(error_reply(exchange, 400, "an order has fence and kind"));
        return;
    }
    auto const fence =
        static_cast<std::uint64_t>(integer_of(*body, "fence", 0));
    if (options_.checks_fence && fence < newest_fence_)
    {
        emit(json_reply(exchange, 409,
                        {{"fence", static_cast<qint64>(newest_fence_)}}));
        return;
    }
    newest_fence_ = std::max(newest_fence_, fence);
    apply_order(now, *body);
    emit_or_lose(faults_, now, json_reply(exchange, 200, {{"applied", true}}),
                 emit);
}

void engine::apply_order(time_point now, QJsonObject const& what)
{
    std::string const kind = text_of(what, "kind");
    std::string version = text_of(what, "version");
    if (version.empty())
    {
        version = text_of(what, "adapter");
    }
    if (kind == "load")
    {
        loading_.emplace(version, now + options_.load_time);
    }
    else if (kind == "unload")
    {
        std::erase(options_.versions, version);
        loading_.erase(version);
    }
    else if (kind == "role")
    {
        options_.role = text_of(what, "role");
    }
}

void engine::move_block(time_point now, exchange_id exchange,
                        call const& request, std::string_view name,
                        reply_sink const& emit)
{
    block_id const block = parse_block_name(name);
    std::string const exported =
        std::string(exported_block_prefix) + std::string(name);
    if (request.method == "PUT" && block != 0 && request.body == exported)
    {
        cache_.store(now, {block});
        emit(json_reply(exchange, 200, {{"imported", true}}));
    }
    else if (request.method == "PUT")
    {
        emit(error_reply(exchange, 400, "not an export of this block"));
    }
    else if (cache_.contains(block))
    {
        emit(whole_reply{exchange, 200, "application/octet-stream", exported});
    }
    else
    {
        emit(error_reply(exchange, 404, "block not cached"));
    }
}

void engine::report_load(time_point now, exchange_id exchange,
                         reply_sink const& emit) const
{
    QJsonObject body;
    for (load_report const& report : reports_)
    {
        if (body.isEmpty() || report.at + options_.report_lag <= now)
        {
            body = report.body;
        }
    }
    emit(json_reply(exchange, 200, body));
}

void engine::report_events(time_point now, exchange_id exchange,
                           call const& request, reply_sink const& emit) const
{
    std::int64_t const from = query_integer(request.target, "from", 1);
    QJsonArray rows;
    std::int64_t next = std::max<std::int64_t>(from, 1);
    for (cache_event const& event :
         cache_.events(now, static_cast<std::uint64_t>(next)))
    {
        rows.append(
            QJsonObject{{"sequence", static_cast<qint64>(event.sequence)},
                        {"kind", event.stored ? "stored" : "evicted"},
                        {"block", as_text(block_name(event.block))}});
        next = static_cast<std::int64_t>(event.sequence) + 1;
    }
    emit(json_reply(exchange, 200,
                    {{"events", rows}, {"next", static_cast<qint64>(next)}}));
}

void engine::report_runs(exchange_id exchange, reply_sink const& emit) const
{
    QJsonObject by_key;
    for (auto const& [key, count] : runs_by_key_)
    {
        by_key[as_text(key)] = static_cast<qint64>(count);
    }
    emit(json_reply(
        exchange, 200,
        {{"total", static_cast<qint64>(runs_)}, {"by_key", by_key}}));
}

// Keeps a report of the present for when its lag has passed.
void engine::keep_report(time_point now)
{
    if (!reports_.empty() && now - reports_.back().at < report_interval)
    {
        return;
    }
    std::chrono::duration<double> const passed =
        reports_.empty() ? report_interval : now - reports_.back().at;
    QJsonArray versions;
    for (std::string const& version : options_.versions)
    {
        versions.append(as_text(version));
    }
    double const rate =
        static_cast<double>(tokens_given_ - tokens_at_report_) / passed.count();
    tokens_at_report_ = tokens_given_;
    reports_.push_back(
        {now,
         {{"time_us", static_cast<qint64>(to_micros(now))},
          {"running", static_cast<qint64>(running_.size())},
          {"waiting", static_cast<qint64>(waiting_.size())},
          {"tokens_per_second", rate},
          {"cache_blocks_used", static_cast<qint64>(cache_.size())},
          {"cache_blocks", static_cast<qint64>(options_.cache.blocks)},
          {"versions", versions},
          {"role", as_text(options_.role)}}});
    while (reports_.size() > 1 && reports_[1].at + options_.report_lag <= now)
    {
        reports_.pop_front();
    }
}

void engine::finish_loads(time_point now)
{
    for (auto row = loading_.begin(); row != loading_.end();)
    {
        if (row->second > now)
        {
            ++row;
            continue;
        }
        std::erase(options_.versions, row->first);
        options_.versions.push_back(row->first);
        row = loading_.erase(row);
    }
}

// Ends the steps that are over and begins the next, at the times at which
// they end, so that the pace does not depend on how often it is ticked.
void engine::run_steps(time_point now, reply_sink const& emit)
{
    if (!stepping_)
    {
        begin_step(now, emit);
    }
    while (stepping_ && step_ends_ <= now)
    {
        time_point const ended = step_ends_;
        end_step(ended, emit);
        begin_step(ended, emit);
    }
}

void engine::begin_step(time_point now, reply_sink const& emit)
{
    duration prefill{};
    while (running_.size() < options_.batch && !waiting_.empty())
    {
        auto const next = next_waiting();
        exchange_id const exchange = *next;
        waiting_.erase(next);
        running_.push_back(exchange);
        prefill += join(now, exchange, emit);
    }
    stepping_ = !running_.empty();
    auto const streams = static_cast<std::int64_t>(running_.size());
    step_ends_ = now + options_.base_step + options_.stream_step * streams +
                 prefill + extra_step_time(now);
}

std::vector<exchange_id>::iterator engine::next_waiting()
{
    return std::max_element(
        waiting_.begin(), waiting_.end(),
        [this](exchange_id a, exchange_id b)
        { return streams_.at(a).priority < streams_.at(b).priority; });
}

duration engine::join(time_point now, exchange_id exchange,
                      reply_sink const& emit)
{
    stream_row& row = streams_.at(exchange);
    auto const blocks = blocks_of(row.prompt);
    std::size_t const resumed = static_cast<std::size_t>(row.first);
    std::size_t const prompt_tokens = tokens_in(row.prompt) + resumed;
    row.cached_tokens = cache_.use(blocks) * block_tokens;
    cache_.store(now, blocks);
    if (row.streamed)
    {
        emit(reply_head{exchange, 200, "text/event-stream"});
        emit(reply_piece{
            exchange,
            event_text(
                {{"cached_tokens", static_cast<qint64>(row.cached_tokens)},
                 {"prompt_tokens", static_cast<qint64>(prompt_tokens)}})});
    }
    return options_.prefill_token *
           static_cast<std::int64_t>(prompt_tokens - row.cached_tokens);
}

void engine::end_step(time_point now, reply_sink const& emit)
{
    std::erase_if(running_,
                  [&](exchange_id exchange)
                  {
                      bool const finished =
                          advance(now, exchange, streams_.at(exchange), emit);
                      if (finished)
                      {
                          streams_.erase(exchange);
                      }
                      return finished;
                  });
}

bool engine::advance(time_point now, exchange_id exchange, stream_row& row,
                     reply_sink const& emit)
{
    if (row.next < row.end)
    {
        std::string token = token_of(row.prompt, row.next);
        if (row.streamed)
        {
            emit(reply_piece{
                exchange,
                fmt::format("data: {{\"index\":{},\"token\":\"{}\"}}\n\n",
                            row.next, token)});
        }
        else
        {
            row.tokens.push_back(std::move(token));
        }
        ++row.next;
        ++tokens_given_;
    }
    auto const cut = faults_.find(now, fault_kind::cut);
    if (cut && cut->tokens == row.next - row.first)
    {
        (void)faults_.take(now, fault_kind::cut);
        emit(reply_cut{exchange});
        return true;
    }
    if (row.next < row.end)
    {
        return false;
    }
    if (row.streamed)
    {
        emit(reply_piece{exchange, "data: [DONE]\n\n"});
        emit(reply_end{exchange});
        return true;
    }
    QJsonArray tokens;
    for (std::string const& token : row.tokens)
    {
        tokens.append(as_text(token));
    }
    emit(json_reply(
        exchange, 200,
        {{"tokens", tokens},
         {"cached_tokens", static_cast<qint64>(row.cached_tokens)},
         {"prompt_tokens",
          static_cast<qint64>(tokens_in(row.prompt) +
                              static_cast<std::size_t>(row.first))}}));
    return true;
}

duration engine::extra_step_time(time_point now) const
{
    duration extra{};
    if (auto const slow = faults_.find(now, fault_kind::slow))
    {
        extra += slow->length;
    }
    auto const bad = faults_.find(now, fault_kind::bad_version);
    bool const affected =
        bad &&
        std::any_of(running_.begin(), running_.end(),
                    [&](exchange_id exchange)
                    { return streams_.at(exchange).version == bad->text; });
    return affected ? extra + bad->length : extra;
}

} // namespace amarantharch::standin
