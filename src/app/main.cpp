#include "app/command_line.hpp"

#include <QCoreApplication>

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    return amarantharch::run_command_line({argv + 1, argv + argc},
                                          amarantharch::all_commands());
}
