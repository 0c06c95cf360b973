#include "standin/engine.hpp"
#include "standin/role_session_test.hpp"

#include "standin/json.hpp"

#include <QJsonArray>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace amarantharch;
using namespace amarantharch::standin;

namespace
{

constexpr duration step = std::chrono::milliseconds(10);

engine_options options()
{
    engine_options chosen;
    chosen.batch = 2;
    chosen.waiting = 2;
    chosen.base_step = step;
    chosen.stream_step = {};
    chosen.prefill_token = {};
    chosen.cache.blocks = 4;
    chosen.cache.lose_every = 3;
    return chosen;
}

struct engine_session : role_session
{
    explicit engine_session(engine_options chosen = options())
        : role_session(std::make_unique<engine>(std::move(chosen)))
    {
    }

    exchange_id stream(std::string const& prompt, int tokens,
                       header_list headers = {})
    {
        return ask(
            "POST", "/v1/completions",
            fmt::format(R"({{"prompt":"{}","max_tokens":{},"stream":true}})",
                        prompt, tokens),
            std::move(headers));
    }

    QJsonObject get(std::string target)
    {
        return *parse_object(answer(ask("GET", std::move(target))).body);
    }

    static std::string expected(std::string const& prompt, int from, int to)
    {
        std::string text;
        for (int i = from; i < to; ++i)
        {
            text += fmt::format("data: {{\"index\":{},\"token\":\"{}\"}}\n\n",
                                i, token_of(prompt, i));
        }
        return text;
    }

    // The stream after its first event.
    std::string tokens_of(exchange_id exchange) const
    {
        std::string const all = streamed(exchange);
        return all.substr(all.find("\n\n") + 2);
    }
};

struct careless_engine_session : engine_session
{
    careless_engine_session()
        : engine_session(
              []
              {
                  engine_options chosen = options();
                  chosen.checks_fence = false;
                  return chosen;
              }())
    {
    }
};

struct single_engine_session : engine_session
{
    single_engine_session()
        : engine_session(
              []
              {
                  engine_options chosen = options();
                  chosen.batch = 1;
                  return chosen;
              }())
    {
    }
};

std::string const prompt_of_2_blocks(2 * block_bytes, 'p');

} // namespace

BOOST_AUTO_TEST_SUITE(the_engine)

BOOST_FIXTURE_TEST_CASE(streams_a_token_a_step, engine_session)
{
    auto const s = stream("hello", 2);
    pass(step);
    BOOST_TEST(tokens_of(s) == expected("hello", 0, 1));
    pass(step);
    BOOST_TEST(tokens_of(s) == expected("hello", 0, 2) + "data: [DONE]\n\n");
    BOOST_TEST(is_ended(s));
}

BOOST_FIXTURE_TEST_CASE(keeps_its_pace_when_ticked_late, engine_session)
{
    auto const s = stream("hello", 5);
    pass(3 * step);
    BOOST_TEST(tokens_of(s) == expected("hello", 0, 3));
}

BOOST_FIXTURE_TEST_CASE(resumes_from_an_offset_with_the_same_tokens,
                        engine_session)
{
    auto const s = stream("hello", 4, {{"X-Resume-From", "2"}});
    pass(2 * step);
    BOOST_TEST(tokens_of(s) == expected("hello", 2, 4) + "data: [DONE]\n\n");
}

BOOST_FIXTURE_TEST_CASE(answers_whole_where_no_stream_is_asked, engine_session)
{
    auto const s = ask("POST", "/v1/chat/completions",
                       R"({"messages":[{"role":"user","content":"hi"}],)"
                       R"("max_tokens":1})");
    pass(step);
    auto const body = parse_object(answer(s).body);
    BOOST_TEST(body->value("tokens").toArray()[0].toString().toStdString() ==
               token_of("user: hi\n", 0));
}

BOOST_AUTO_TEST_SUITE(with_a_full_batch)

BOOST_FIXTURE_TEST_CASE(takes_the_highest_priority_next, single_engine_session)
{
    stream("a", 1);
    auto const low = stream("b", 1);
    auto const high = stream("c", 1, {{"X-Priority", "9"}});
    pass(2 * step);
    BOOST_TEST(is_ended(high));
    BOOST_TEST(!is_ended(low));
    pass(step);
    BOOST_TEST(is_ended(low));
}

BOOST_FIXTURE_TEST_CASE(refuses_what_its_queue_cannot_hold, engine_session)
{
    stream("a", 1);
    stream("b", 1);
    auto const last = stream("c", 1);
    BOOST_TEST(answer(stream("d", 1)).status == 429);
    pass(2 * step);
    BOOST_TEST(is_ended(last));
}

BOOST_FIXTURE_TEST_CASE(gives_a_cancelled_streams_place_to_another,
                        engine_session)
{
    auto const kept = stream("a", 100);
    auto const cancelled = stream("b", 100, {{"X-Stream-Id", "s-b"}});
    pass(step);
    auto const waiting = stream("c", 1);
    BOOST_TEST(answer(ask("DELETE", "/engine/streams/s-b")).status == 200);
    BOOST_TEST(is_cut(cancelled));
    pass(2 * step);
    BOOST_TEST(is_ended(waiting));
    BOOST_TEST(!is_ended(kept));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(caches_prefixes)

BOOST_FIXTURE_TEST_CASE(and_says_how_much_was_cached, engine_session)
{
    stream(prompt_of_2_blocks, 1);
    pass(step);
    auto const again = stream(prompt_of_2_blocks, 1);
    BOOST_TEST(streamed(again).find(R"("cached_tokens":32)") !=
               std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(with_events_that_come_late_and_have_gaps,
                        engine_session)
{
    stream(prompt_of_2_blocks, 1);
    pass(step);
    stream(std::string(2 * block_bytes, 'q'), 1);
    BOOST_TEST(
        get("/engine/cache_events?from=1").value("events").toArray().isEmpty());
    pass(std::chrono::milliseconds(500));
    auto const events = get("/engine/cache_events?from=1");
    auto const rows = events.value("events").toArray();
    BOOST_REQUIRE_EQUAL(rows.size(), 3); // the third of four is lost
    BOOST_TEST(rows[2].toObject().value("sequence").toInt() == 4);
    BOOST_TEST(rows[0].toObject().value("block").toString().toStdString() ==
               block_name(blocks_of(prompt_of_2_blocks)[0]));
    BOOST_TEST(events.value("next").toInt() == 5);
}

BOOST_FIXTURE_TEST_CASE(and_moves_blocks_between_engines, engine_session)
{
    stream(prompt_of_2_blocks, 1);
    std::string const target =
        "/engine/kv/" + block_name(blocks_of(prompt_of_2_blocks)[0]);
    std::string const exported = answer(ask("GET", target)).body;
    engine_session other;
    BOOST_TEST(other.answer(other.ask("GET", target)).status == 404);
    BOOST_TEST(other.answer(other.ask("PUT", target, exported)).status == 200);
    BOOST_TEST(other.answer(other.ask("GET", target)).body == exported);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(takes_orders)

BOOST_FIXTURE_TEST_CASE(and_serves_a_version_once_it_is_loaded, engine_session)
{
    ask("POST", "/engine/orders", R"({"fence":5,"kind":"load","version":"2"})");
    BOOST_TEST(answer(stream("a", 1, {{"X-Version", "2"}})).status == 404);
    pass(std::chrono::milliseconds(200));
    auto const s = stream("a", 1, {{"X-Version", "2"}});
    pass(step);
    BOOST_TEST(is_ended(s));
}

BOOST_FIXTURE_TEST_CASE(but_none_with_an_old_fence, engine_session)
{
    ask("POST", "/engine/orders", R"({"fence":5,"kind":"role","role":"a"})");
    auto const old = answer(ask("POST", "/engine/orders",
                                R"({"fence":4,"kind":"role","role":"b"})"));
    BOOST_TEST(old.status == 409);
    BOOST_TEST(old.body == R"({"fence":5})");
}

BOOST_FIXTURE_TEST_CASE(of_any_fence_where_it_does_not_check,
                        careless_engine_session)
{
    ask("POST", "/engine/orders", R"({"fence":5,"kind":"role","role":"a"})");
    auto const old = answer(ask("POST", "/engine/orders",
                                R"({"fence":4,"kind":"role","role":"b"})"));
    BOOST_TEST(old.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(reports_its_load_late, engine_session)
{
    pass(step);
    stream("a", 1000);
    pass(std::chrono::milliseconds(400));
    BOOST_TEST(get("/engine/load").value("running").toInt() == 0);
    pass(std::chrono::milliseconds(600));
    pass(std::chrono::milliseconds(600));
    BOOST_TEST(get("/engine/load").value("running").toInt() == 1);
}

BOOST_AUTO_TEST_SUITE(under_faults)

BOOST_FIXTURE_TEST_CASE(cuts_a_stream_in_the_middle, engine_session)
{
    set_fault(R"({"kind":"cut","count":1,"tokens":2})");
    auto const s = stream("hello", 4);
    pass(4 * step);
    BOOST_TEST(tokens_of(s) == expected("hello", 0, 2));
    BOOST_TEST(is_cut(s));
}

BOOST_FIXTURE_TEST_CASE(fails_or_slows_a_bad_version, engine_session)
{
    set_fault(R"({"kind":"bad_version","text":"1"})");
    BOOST_TEST(answer(stream("a", 1)).status == 500);
    set_fault(R"({"kind":"bad_version","text":"1","ms":30})");
    auto const s = stream("a", 1);
    pass(3 * step);
    BOOST_TEST(!is_ended(s));
    pass(step);
    BOOST_TEST(is_ended(s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
