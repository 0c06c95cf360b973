// Logs why the process ends, where nothing else would.
//
// An exception that nobody catches and a fatal signal write a line to the log's
// descriptor, with the held lines before it, and then end the process as they
// would have. The first is free to allocate. The second does what a signal
// handler may do, and reads the held lines though the signal may have come
// while one was added: its own line is written first, so that it is out if that
// fails. Neither waits for the log's reader: what it has no room for is lost.
// With an exhausted stack nothing is logged.
#ifndef AMARANTHARCH_APP_CRASH_LOG_HPP
#define AMARANTHARCH_APP_CRASH_LOG_HPP

namespace amarantharch
{

// From now on. To be called once in a process.
void log_crashes();

} // namespace amarantharch

#endif
