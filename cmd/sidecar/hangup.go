//go:build cgo

package main

// A SIGHUP that arrives before the handlers of the runtime and of the program are in
// place would end the process.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangups(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
