// Requests with one part of their prompt crash the servers that begin them.
// They come a few at a time.
#include "../deadly-2.h"

namespace
{

constexpr int requests_at_once = 6;
constexpr double gap_ms = 4000;
constexpr int batches = 10;

bool run(std::string const& root, std::string const& scratch,
         rig::line_file& record)
{
    // These live until the process exits: detached threads use them.
    auto& under = *new rig::deployment(root, scratch, {});
    auto& servers = *new std::vector<std::unique_ptr<rig::server_process>>;
    auto& callers = *new deadly::clients(under, record);
    under.the_store().put("keyed.op", "config", deadly::configuration());
    for (int i = 0; i < 18; ++i)
    {
        servers.push_back(std::make_unique<rig::server_process>(
            under, i,
            rig::server_spec{"huvo11a", "engine", 12, 6, 150,
                             rig::has_trouble() ? deadly::deadly_part : ""}));
    }
    under.start_vms();
    if (!under.wait_until_ready(20'000))
    {
        throw rig::unable("the VMs did not become ready");
    }
    rig::sleep_ms(deadly::contact_ms + 500);
    std::atomic<bool> done{false};
    std::thread sound(
        [&]
        {
            while (!done)
            {
                callers.send(false);
                rig::sleep_ms(20);
            }
        });
    rig::sleep_ms(3000);
    for (int batch = 0; batch < batches; ++batch)
    {
        record.line(rig::now_ms(), rig::format("batch %d", batch + 1));
        for (int i = 0; i < requests_at_once; ++i)
        {
            callers.send(true);
        }
        rig::sleep_ms(gap_ms);
    }
    done = true;
    sound.join();
    rig::sleep_ms(1500);
    auto const result = deadly::judge(under, callers, servers, record);
    for (auto& each : servers)
    {
        each->end();
    }
    under.end();
    if (rig::has_trouble() && result.crashes < deadly::crashes_for_rule)
    {
        throw rig::unable("fewer than five servers crashed");
    }
    return result.later > deadly::most_requests;
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, run);
}
