#include "net/accepting.hpp"

#include <QTcpServer>
#include <QTimer>

namespace amarantharch
{

void accept_again_after_errors(QTcpServer& server)
{
    QObject::connect(
        &server, &QTcpServer::acceptError, &server,
        [&server]
        {
            QTimer::singleShot(
                std::chrono::ceil<std::chrono::milliseconds>(accept_retry),
                &server,
                [&server]
                {
                    if (server.isListening())
                    {
                        server.resumeAccepting();
                    }
                });
        });
}

} // namespace amarantharch
