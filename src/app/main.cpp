#include "app/command_line.hpp"
#include "app/signal_watcher.hpp"

#include <QCoreApplication>

#include <string_view>

namespace
{

// A VM's process outlives the signals that it is sent while it starts; the
// other commands end by them.
void hold_signals(int argc, char** argv, char** /*environment*/)
{
    if (argc > 1 && std::string_view(argv[1]) == "serve")
    {
        (void)amarantharch::signal_watcher::hold(); // watch() reports a failure
    }
}

// Runs before the constructors of all libraries.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const before_libraries)(int, char**,
                                             char**) = hold_signals;

} // namespace

int main(int argc, char** argv)
{
    // Qt's own dispatcher costs less for each socket event than GLib's.
    (void)qputenv("QT_NO_GLIB", "1");
    QCoreApplication application(argc, argv);
    return amarantharch::run_command_line({argv + 1, argv + argc},
                                          amarantharch::all_commands());
}
