// Command merlinsim runs deterministic simulations of the whole system.
package main

import (
	"os"
	"runtime/debug"

	"merlinpaddle/internal/sim/cli"
)

// gcPercent makes garbage collections rarer: a run has little live memory, and at the default
// setting it spends a fifth of its time in garbage collection.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	os.Exit(cli.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
