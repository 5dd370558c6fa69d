// Command merlinpaddle runs one process of the load balancer in the role that its first argument
// names, or one of the offline commands.
package main

import (
	"os"

	"merlinpaddle/internal/command"
)

func main() { os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
