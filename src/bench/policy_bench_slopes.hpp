// Processor time and memory of the decisions against the size of their tables.
#ifndef AMARANTHARCH_BENCH_POLICY_BENCH_SLOPES_HPP
#define AMARANTHARCH_BENCH_POLICY_BENCH_SLOPES_HPP

namespace amarantharch::bench
{

// Prints one table; wall-clock time of this machine.
void print_slopes();

} // namespace amarantharch::bench

#endif
