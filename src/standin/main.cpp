// A small stand-in for an upstream: streams a few pieces for any request.
#include "net/http_server.hpp"

#include <QCoreApplication>

#include <fmt/format.h>

#include <memory>

int main(int argc, char** argv)
{
    using namespace amarantharch;
    QCoreApplication application(argc, argv);
    std::unique_ptr<http_server> server;
    auto const answer = [&](exchange_id exchange, call const& request)
    {
        server->answer_head(exchange, 200, {{"Content-Type", "text/plain"}});
        for (int i = 0; i < 3; ++i)
        {
            server->answer_piece(exchange, fmt::format("piece {}\n", i));
        }
        server->answer_piece(exchange, request.body);
        server->answer_end(exchange);
    };
    server = std::make_unique<http_server>(
        http_server_limits{}, http_server_handlers{answer, [](exchange_id) {
                                                   }});
    if (!server->listen(QHostAddress::LocalHost, 0).ok())
    {
        return 1;
    }
    fmt::print(stderr, "{{\"event\":\"listening\",\"port\":\"{}\"}}\n",
               server->port());
    return QCoreApplication::exec();
}
