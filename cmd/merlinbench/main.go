// Command merlinbench runs benchmarks on fleets of separate processes: it renders their settings,
// generates load, injects faults, and measures.
package main

import (
	"os"

	"merlinpaddle/internal/bench/command"
)

func main() { os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
