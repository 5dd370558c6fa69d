package experiment

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// Script runs hack/fleet, which starts and ends the processes of a fleet.
type Script struct {
	// Root is the repository's root.
	Root string
	// Folder is the fleet's folder.
	Folder string
	// Binaries is the folder with the programs.
	Binaries string
}

// Run runs one command of the script. An error includes the script's output.
func (script Script) Run(ctx context.Context, arguments ...string) error {
	all := append([]string{"--folder", script.Folder}, arguments...)
	command := exec.CommandContext(ctx, filepath.Join(script.Root, "hack", "fleet"), all...)
	command.Env = append(command.Environ(), "BIN="+script.Binaries)
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("fleet %s: %w: %s", strings.Join(arguments, " "), err, strings.TrimSpace(string(output)))
	}
	return nil
}
