#include "net/socket_write.hpp"

#include <sys/socket.h>

namespace amarantharch
{

std::size_t write_at_once(QTcpSocket& socket, std::string_view bytes)
{
    std::size_t taken = 0;
    if (socket.bytesToWrite() == 0)
    {
        auto const sent =
            ::send(static_cast<int>(socket.socketDescriptor()), bytes.data(),
                   bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        taken = sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }
    if (taken < bytes.size())
    {
        socket.write(bytes.data() + taken,
                     static_cast<qint64>(bytes.size() - taken));
    }
    return taken;
}

} // namespace amarantharch
