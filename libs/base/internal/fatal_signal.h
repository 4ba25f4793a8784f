#pragma once

namespace cornelplank::base {

/// From now on a signal of a fault (SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT) writes one line
/// `event=fatal_signal` with the address of the fault and the stack to `output`, a file descriptor, before it
/// ends the process as it would otherwise. A handler that is installed already, such as a sanitizer's, stays.
/// Call once at the start of main(). Only the calling thread has a stack of its own for the handler, so
/// another one that has used up its stack ends without the line.
void LogFatalSignals(int output);

}  // namespace cornelplank::base
