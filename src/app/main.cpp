#include "app/command_line.hpp"

#include <QCoreApplication>

int main(int argc, char** argv)
{
    // Qt's own dispatcher costs less for each socket event than GLib's.
    (void)qputenv("QT_NO_GLIB", "1");
    QCoreApplication application(argc, argv);
    return amarantharch::run_command_line({argv + 1, argv + argc},
                                          amarantharch::all_commands());
}
