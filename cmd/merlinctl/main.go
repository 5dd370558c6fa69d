// Command merlinctl is the operators' command line, a client of the administration API.
package main

import (
	"os"

	"merlinpaddle/internal/merlinctl"
)

func main() {
	os.Exit(merlinctl.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
